/**
 * Checks the invariants of jobs on workers during a simulation.
 *
 * @module
 */

import type { FleetState, RecordOutcome } from "@lagoonloom/decisions";
import type { ControlRecord, ControlRecordOf } from "@lagoonloom/records";
import type { WorkerTask, WorkerTasks } from "../worker_tasks.ts";

/** Time in milliseconds in which a cancelled job may still start. */
const START_WINDOW_MS = 5_000;

/** Time in milliseconds that a decider may take to notice an urgent job. */
const URGENT_REACTION_MS = 1_000;

/** Age in milliseconds from which a task's actual usage counts. */
const USAGE_SETTLING_MS = 30_000;

/** State of the simulation that the checker reads. */
export type CheckedModel = {
  nowMs: number;
  referenceState: FleetState;
  log: { visibilityDelayMs: number };
  workers: ReadonlyMap<string, { agent: WorkerTasks }>;
  reportsHalfUsage: boolean;
};

/** Checker of the jobs' invariants, independent of the deciders' own counts. */
export type JobChecker = {
  /** Descriptions of the first violations, at most 20. */
  violations: string[];
  /** Checks a record that was just applied to the reference state. */
  checkRecord(
    model: CheckedModel,
    body: ControlRecord,
    outcome: RecordOutcome,
  ): void;
  /** Checks a task that a worker has just started or ended. */
  checkTask(model: CheckedModel, worker: string, task: WorkerTask): void;
};

/**
 * Creates a checker that has found no violation yet.
 *
 * @example
 * ```ts
 * const checker = createJobChecker();
 * ```
 */
export function createJobChecker(): JobChecker {
  const violations: string[] = [];
  const cancelledAtMs = new Map<string, number>();
  const statesByWorker = new Map<string, string>();
  const addViolation = (text: string) => {
    if (violations.length < 20) violations.push(text);
  };
  return {
    violations,
    checkRecord(model, body, outcome) {
      if (outcome.type !== "applied") return;
      if (body.type === "worker.changed") {
        statesByWorker.set(body.worker, body.state);
      }
      if (body.type === "job.cancelled") {
        cancelledAtMs.set(body.job, model.nowMs);
      }
      if (body.type !== "job.placed") return;
      const prefix = `${model.nowMs}: ${body.job} on ${body.worker}`;
      if (cancelledAtMs.has(body.job)) {
        addViolation(`${prefix}: the job is cancelled`);
      }
      if (statesByWorker.get(body.worker) === "suspended") {
        addViolation(`${prefix}: the worker is suspended`);
      }
      const problem = findExceededQuota(model.referenceState, body.job) ??
        findOverload(model, body.worker) ?? findBypassedUrgentJob(model, body);
      if (problem !== undefined) addViolation(`${prefix}: ${problem}`);
    },
    checkTask(model, worker, task) {
      if (task.state !== "running") return;
      const { nowMs } = model;
      const prefix =
        `${nowMs}: ${task.job}/${task.attempt} starts on ${worker}`;
      const cancelled = cancelledAtMs.get(task.job) ?? Infinity;
      if (nowMs > cancelled + START_WINDOW_MS) {
        addViolation(`${prefix}: the job is cancelled`);
      }
      if (task.leaseEndMs <= nowMs) {
        addViolation(`${prefix}: the lease has expired`);
      }
      const job = model.referenceState.jobs.get(task.job);
      if ((job?.attempt ?? 0) > task.attempt) {
        addViolation(`${prefix}: the attempt is outdated`);
      }
      for (const [other, { agent }] of model.workers) {
        const otherTask = agent.tasks.get(task.job);
        const isRunningElsewhere = other !== worker &&
          otherTask !== undefined &&
          (otherTask.state === "running" || otherTask.state === "throttled") &&
          otherTask.leaseEndMs > nowMs;
        if (isRunningElsewhere) {
          addViolation(`${prefix}: also runs on ${other}`);
        }
      }
    },
  };
}

const sizeOf = (state: FleetState, name: string) => {
  const job = state.jobs.get(name)!;
  return job.used ?? job.declared;
};

function findExceededQuota(
  state: FleetState,
  name: string,
): string | undefined {
  const { team: teamName } = state.jobs.get(name)!;
  const team = state.set.teams[teamName]!;
  const used = { cores: 0, memory_gb: 0, accelerators: 0 };
  for (const [other, job] of state.jobs) {
    if (job.state !== "running" || job.team !== teamName) continue;
    const size = sizeOf(state, other);
    used.cores += size.cores;
    used.memory_gb += size.memory_gb;
    used.accelerators += size.accelerators;
  }
  const isOver = used.cores > team.quota_cores + 0.01 ||
    used.memory_gb > team.quota_memory_gb + 0.01 ||
    used.accelerators > team.quota_accelerators;
  return isOver ? `${teamName} is over its quota` : undefined;
}

function findOverload(model: CheckedModel, name: string): string | undefined {
  if (model.reportsHalfUsage) return undefined;
  const { referenceState, nowMs } = model;
  const host = referenceState.set.hosts[name]!;
  const agent = model.workers.get(name)!.agent;
  let cores = 0;
  let memory = 0;
  let accelerators = 0;
  for (const running of referenceState.workers.get(name)?.running ?? []) {
    const known = sizeOf(referenceState, running);
    const task = agent.tasks.get(running);
    const isSettled = task !== undefined &&
      nowMs - task.startedAtMs >= USAGE_SETTLING_MS;
    const used = isSettled ? task.used : known;
    cores += Math.min(known.cores, used.cores);
    memory += Math.min(known.memory_gb, used.memory_gb);
    accelerators += known.accelerators;
  }
  const isOver = cores > host.cores + 0.01 || memory > host.memory_gb + 0.01 ||
    accelerators > host.accelerators;
  return isOver ? "the worker is over its capacity" : undefined;
}

type JobPlaced = ControlRecordOf<"job.placed">;

/** Finds an urgent job that could have run instead of the placed one. */
function findBypassedUrgentJob(
  model: CheckedModel,
  body: JobPlaced,
): string | undefined {
  const { referenceState, nowMs } = model;
  const placed = referenceState.jobs.get(body.job)!;
  const isTrial = referenceState.workers.get(body.worker)?.state === "trial";
  if (
    placed.urgency === "urgent" || isTrial || model.log.visibilityDelayMs > 500
  ) {
    return undefined;
  }
  const size = sizeOf(referenceState, body.job);
  for (const [name, job] of referenceState.jobs) {
    if (job.state !== "queued" || job.urgency !== "urgent") continue;
    if (nowMs - job.sinceMs < URGENT_REACTION_MS) continue;
    const isElsewhere = job.dataCentres.length > 0 &&
      !job.dataCentres.includes(body.scope);
    if (isElsewhere || job.failedWorkers.length > 0) continue;
    // Compares only jobs of one team: the quota that allows the placed job
    // also allows a smaller one.
    if (job.team !== placed.team) continue;
    const needed = sizeOf(referenceState, name);
    const fits = needed.cores <= size.cores &&
      needed.memory_gb <= size.memory_gb &&
      needed.accelerators <= size.accelerators;
    if (fits) return `urgent job ${name} waits`;
  }
  return undefined;
}
