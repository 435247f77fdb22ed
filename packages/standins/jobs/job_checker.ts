import type { FleetState, RecordOutcome } from "@lagoonloom/decisions";
import type { ControlRecord } from "@lagoonloom/records";
import type { WorkerTask } from "../worker_tasks.ts";
import type { JobModel } from "./job_model.ts";

/** Time in milliseconds after its placement in which a job may still start. */
const START_WINDOW_MS = 5_000;

/** Time in milliseconds that a decider gets to see an urgent job. */
const URGENT_SEEN_MS = 1_000;

/** Age in milliseconds of a task whose usage may lower its charge. */
const SETTLE_MS = 30_000;

/** Violations of the jobs' invariants, counted apart from the decisions. */
export type JobChecker = {
  violations: string[];
  /** Checks a record that was just folded into the referenceState. */
  checkRecord(
    model: JobModel,
    body: ControlRecord,
    outcome: RecordOutcome,
  ): void;
  /** Checks a task that a worker began or ended to run. */
  checkTask(model: JobModel, worker: string, task: WorkerTask): void;
};

/**
 * Creates a checker.
 *
 * @example
 * ```ts
 * const checker = createJobChecker();
 * ```
 */
export function createJobChecker(): JobChecker {
  const violations: string[] = [];
  const cancelledAtMs = new Map<string, number>();
  const suspended = new Map<string, string>();
  const report = (text: string) => {
    if (violations.length < 20) violations.push(text);
  };
  return {
    violations,
    checkRecord(model, body, outcome) {
      if (outcome.type !== "applied") return;
      if (body.type === "worker.changed") {
        suspended.set(body.worker, body.state);
      }
      if (body.type === "job.cancelled") {
        cancelledAtMs.set(body.job, model.nowMs);
      }
      if (body.type !== "job.placed") return;
      const at = `${model.nowMs}: ${body.job} on ${body.worker}`;
      if (cancelledAtMs.has(body.job)) report(`${at}: cancelled`);
      if (suspended.get(body.worker) === "suspended") {
        report(`${at}: suspended`);
      }
      const problem = overQuota(model.referenceState, body.job) ??
        overSize(model, body.worker) ?? urgentWaits(model, body);
      if (problem !== undefined) report(`${at}: ${problem}`);
    },
    checkTask(model, worker, task) {
      if (task.state !== "running") return;
      const { nowMs } = model;
      const at = `${nowMs}: ${task.job}/${task.attempt} starts on ${worker}`;
      const cancelled = cancelledAtMs.get(task.job) ?? Infinity;
      if (nowMs > cancelled + START_WINDOW_MS) report(`${at}: cancelled`);
      if (task.leaseEndMs <= nowMs) report(`${at}: lease is over`);
      const job = model.referenceState.jobs.get(task.job);
      if ((job?.attempt ?? 0) > task.attempt) report(`${at}: old attempt`);
      for (const [other, { agent }] of model.workers) {
        const twin = agent.tasks.get(task.job);
        const isTwice = other !== worker && twin !== undefined &&
          (twin.state === "running" || twin.state === "throttled") &&
          twin.leaseEndMs > nowMs;
        if (isTwice) report(`${at}: runs on ${other} too`);
      }
    },
  };
}

const sizeOf = (state: FleetState, name: string) => {
  const job = state.jobs.get(name)!;
  return job.used ?? job.declared;
};

function overQuota(state: FleetState, name: string): string | undefined {
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

function overSize(model: JobModel, name: string): string | undefined {
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
      nowMs - task.startedAtMs >= SETTLE_MS;
    const used = isSettled ? task.used : known;
    cores += Math.min(known.cores, used.cores);
    memory += Math.min(known.memory_gb, used.memory_gb);
    accelerators += known.accelerators;
  }
  const isOver = cores > host.cores + 0.01 || memory > host.memory_gb + 0.01 ||
    accelerators > host.accelerators;
  return isOver ? "the worker is over its size" : undefined;
}

type Placed = Extract<ControlRecord, { type: "job.placed" }>;

/** Finds an urgent job that could have had the place of another job. */
function urgentWaits(model: JobModel, body: Placed): string | undefined {
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
    if (nowMs - job.sinceMs < URGENT_SEEN_MS) continue;
    const isElsewhere = job.dataCentres.length > 0 &&
      !job.dataCentres.includes(body.scope);
    if (isElsewhere || job.failedWorkers.length > 0) continue;
    // Only within a team, whose quota then surely allows it.
    if (job.team !== placed.team) continue;
    const needed = sizeOf(referenceState, name);
    const isSmaller = needed.cores <= size.cores &&
      needed.memory_gb <= size.memory_gb &&
      needed.accelerators <= size.accelerators;
    if (isSmaller) return `urgent ${name} waits`;
  }
  return undefined;
}
