/**
 * Simulates workers, deciders and the log in virtual time, with their faults.
 *
 * @module
 */

import {
  applyRecord,
  emptyFleetState,
  type FleetState,
  type JobSize,
  type WorkerCall,
  type WorkerOutcome,
} from "@lagoonloom/decisions";
import type { ObjectSet } from "@lagoonloom/objects";
import { ControlRecord } from "@lagoonloom/records";
import {
  appendToLog,
  createModelLog,
  type ModelLog,
} from "../fleet/model_log.ts";
import {
  createWorkerTasks,
  type WorkerTask,
  type WorkerTasks,
} from "../worker_tasks.ts";
import { createJobChecker, type JobChecker } from "./job_checker.ts";
import {
  createModelDecider,
  type ModelDecider,
  stepDecider,
} from "./model_decider.ts";

/** Time in milliseconds after which a call without an answer times out. */
const CALL_TIMEOUT_MS = 2_000;

/** Actual usage and run time of a job, which may differ from the declared. */
export type JobBehaviour = {
  used: JobSize;
  runMs: number;
  /** Whether it fails on every worker. */
  alwaysFails?: boolean;
};

/** Simulated worker and its faults. */
export type ModelWorker = {
  agent: WorkerTasks;
  /** Time in milliseconds until which the whole worker process is paused. */
  pausedUntilMs: number;
  /** Calls that arrived while the worker was paused. */
  queuedCalls: (() => void)[];
  /** Time in milliseconds until which calls fail; its tasks go on running. */
  unreachableUntilMs: number;
  failsAllTasks: boolean;
};

/** Simulation of workers, deciders and the log, with an invariant checker. */
export type JobModel = {
  nowMs: number;
  log: ModelLog;
  /** State that results from applying each record as soon as it is appended. */
  referenceState: FleetState;
  workers: Map<string, ModelWorker>;
  deciders: ModelDecider[];
  behaviours: Map<string, JobBehaviour>;
  checker: JobChecker;
  /** Calls and answers in transit. */
  deliveries: { atMs: number; run: () => void }[];
  /** One-way latency of a call in milliseconds. */
  latencyMs: number;
  /** Number of further calls that are carried out but not answered. */
  lostAnswers: number;
  /** Number of further calls that are delivered twice. */
  duplicates: number;
  /** Whether workers report only half of the used cores and memory. */
  reportsHalfUsage: boolean;
  /** Whether deciders may stop jobs in favour of more urgent ones. */
  mayPreempt: boolean;
  /** Time in milliseconds that a checkpoint takes per GB of memory. */
  checkpointMsPerGb: number;
  /** Run time in milliseconds that is covered by checkpoints, by job. */
  checkpointedRunMs: Map<string, number>;
  /** Time in milliseconds of the first start that does not fail, by job. */
  firstStartAtMs: Map<string, number>;
  /** Work in core seconds that preemptions lost. */
  lostCoreS: number;
  /** Number of running jobs that were stopped. */
  preemptions: number;
  nextId: number;
};

/** Options of {@linkcode createJobModel}. */
export type JobModelOptions = {
  set: ObjectSet;
  /** Age of the workers' usage reports in milliseconds; 0 by default. */
  reportLagMs?: number;
  /** Whether deciders may preempt jobs; true by default. */
  mayPreempt?: boolean;
  /** Number of deciders per data centre; 1 by default. */
  deciders?: number;
};

/**
 * Creates a simulation whose object set is published as version 1.
 *
 * @example
 * ```ts
 * const model = createJobModel({ set: createJobSet(shape) });
 * ```
 */
export function createJobModel(options: JobModelOptions): JobModel {
  const hosts = Object.entries(options.set.hosts);
  const scopes = [...new Set(hosts.map(([, host]) => host.data_centre))];
  const model: JobModel = {
    nowMs: 1_000,
    log: createModelLog(),
    referenceState: emptyFleetState(),
    workers: new Map(),
    deciders: scopes.flatMap((scope) =>
      Array.from(
        { length: options.deciders ?? 1 },
        (_, index) => createModelDecider(`entry-${scope}-${index}`, scope),
      )
    ),
    behaviours: new Map(),
    checker: createJobChecker(),
    deliveries: [],
    latencyMs: 20,
    lostAnswers: 0,
    duplicates: 0,
    reportsHalfUsage: false,
    mayPreempt: options.mayPreempt ?? true,
    checkpointMsPerGb: 20,
    checkpointedRunMs: new Map(),
    firstStartAtMs: new Map(),
    lostCoreS: 0,
    preemptions: 0,
    nextId: 1,
  };
  for (const [name] of hosts) {
    model.workers.set(name, createWorker(model, name, options));
  }
  model.log.onAppend = (record) => {
    const outcome = applyRecord(model.referenceState, record);
    const body = ControlRecord.parse(record.body);
    model.checker.checkRecord(model, body, outcome);
  };
  const change = { put: options.set, removed: [] };
  const operator = "operator";
  appendRecord(model, {
    type: "set.changed",
    expectedVersion: 0,
    change,
    operator,
  });
  if (model.referenceState.setVersion !== 1) {
    throw new Error(
      JSON.stringify([...model.referenceState.outcomes.values()]),
    );
  }
  return model;
}

/** Appends a record to the log as an operator's command does. */
export function appendRecord(model: JobModel, body: object): void {
  const id = `model-${model.nextId++}`;
  appendToLog(model.log, { id, body }, model);
}

/** Job to submit. */
export type ModelJob = JobBehaviour & {
  job: string;
  team?: string;
  urgency?: "urgent" | "normal" | "deferrable";
  declared?: JobSize;
  dataCentres?: string[];
};

/**
 * Submits a job as an operator.
 *
 * @example
 * ```ts
 * submitJob(model, { job: "j1", used, runMs: 60_000 });
 * ```
 */
export function submitJob(model: JobModel, job: ModelJob): void {
  const { job: name, used, runMs, alwaysFails = false } = job;
  model.behaviours.set(name, { used, runMs, alwaysFails });
  appendRecord(model, {
    type: "job.submitted",
    job: name,
    team: job.team ?? "team-1",
    urgency: job.urgency ?? "normal",
    declared: job.declared ?? used,
    declaredRunS: runMs / 1_000,
    dataCentres: job.dataCentres ?? [],
  });
}

function createWorker(
  model: JobModel,
  name: string,
  options: JobModelOptions,
): ModelWorker {
  const worker: ModelWorker = {
    agent: createWorkerTasks({
      reportLagMs: options.reportLagMs ?? 0,
      chooseBehaviour: ({ job, size }) => {
        const behaviour = model.behaviours.get(job);
        const willFail = worker.failsAllTasks ||
          behaviour?.alwaysFails === true;
        const leftMs = (behaviour?.runMs ?? 1_000) -
          (model.checkpointedRunMs.get(job) ?? 0);
        const runMs = willFail ? 200 : Math.max(100, leftMs);
        return { used: behaviour?.used ?? size, willFail, runMs };
      },
      onChange: (task) => recordTaskChange(model, name, task),
    }),
    pausedUntilMs: 0,
    queuedCalls: [],
    unreachableUntilMs: 0,
    failsAllTasks: false,
  };
  return worker;
}

function recordTaskChange(
  model: JobModel,
  worker: string,
  task: WorkerTask,
): void {
  model.checker.checkTask(model, worker, task);
  if (task.state === "running" && !task.willFail) {
    const { firstStartAtMs } = model;
    if (!firstStartAtMs.has(task.job)) {
      firstStartAtMs.set(task.job, model.nowMs);
    }
  }
  if (task.state !== "stopped") return;
  const checkpointedUntilMs = Math.max(
    task.checkpointedAtMs ?? 0,
    task.startedAtMs,
  );
  const previousMs = model.checkpointedRunMs.get(task.job) ?? 0;
  model.checkpointedRunMs.set(
    task.job,
    previousMs + checkpointedUntilMs - task.startedAtMs,
  );
  // Counts only preemptions, since the work of a cancelled job is not needed.
  if (model.referenceState.jobs.get(task.job)?.state !== "running") return;
  model.preemptions++;
  model.lostCoreS += task.used.cores * (model.nowMs - checkpointedUntilMs) /
    1_000;
}

/**
 * Advances the workers by one step, delivers calls and answers that are due,
 * and runs a round of each decider.
 *
 * @example
 * ```ts
 * stepJobs(model, { stepMs: 100 });
 * ```
 */
export function stepJobs(
  model: JobModel,
  { stepMs }: { stepMs: number },
): void {
  model.nowMs += stepMs;
  const { nowMs } = model;
  for (const worker of model.workers.values()) {
    if (nowMs < worker.pausedUntilMs) continue;
    worker.agent.advance(nowMs);
    for (const run of worker.queuedCalls.splice(0)) run();
  }
  for (;;) {
    const due = model.deliveries.filter(({ atMs }) => atMs <= nowMs);
    if (due.length === 0) break;
    model.deliveries = model.deliveries.filter(({ atMs }) => atMs > nowMs);
    for (const { run } of due) run();
  }
  for (const decider of model.deciders) {
    stepDecider(decider, {
      log: model.log,
      nowMs,
      mayPreempt: model.mayPreempt,
      send: (call, answer) => send(model, call, answer),
      clock: () => model.nowMs,
    });
  }
}

function send(
  model: JobModel,
  call: WorkerCall,
  answer: (outcome: WorkerOutcome) => void,
): void {
  const worker = model.workers.get(call.worker)!;
  const schedule = (ms: number, run: () => void) => {
    model.deliveries.push({ atMs: model.nowMs + ms, run });
  };
  if (model.nowMs < worker.unreachableUntilMs) {
    const outcome = { type: "unreachable", reason: "refused" } as const;
    return schedule(model.latencyMs, () => answer(outcome));
  }
  let isAnswered = false;
  const finish = (outcome: WorkerOutcome) => {
    if (!isAnswered) answer(outcome);
    isAnswered = true;
  };
  const deliver = () => {
    if (model.nowMs < worker.pausedUntilMs) {
      worker.queuedCalls.push(deliver);
      return;
    }
    const outcome = handleCall(model, worker, call);
    if (model.lostAnswers > 0) model.lostAnswers--;
    else schedule(model.latencyMs, () => finish(outcome));
  };
  const workMs = call.type === "checkpoint"
    ? checkpointMs(model, worker, call.job)
    : 0;
  schedule(model.latencyMs + workMs, deliver);
  if (model.duplicates > 0) {
    model.duplicates--;
    schedule(model.latencyMs + 1_500, deliver);
  }
  const timedOut = { type: "unknown", reason: "timeout" } as const;
  schedule(CALL_TIMEOUT_MS, () => finish(timedOut));
}

function checkpointMs(model: JobModel, { agent }: ModelWorker, job: string) {
  const memory = agent.tasks.get(job)?.used.memory_gb ?? 0;
  return model.checkpointMsPerGb * memory;
}

function handleCall(
  model: JobModel,
  { agent }: ModelWorker,
  call: WorkerCall,
): WorkerOutcome {
  const { nowMs } = model;
  if (call.type === "report" || call.type === "renew") {
    const status = call.type === "renew" ? agent.renew(call, nowMs) : 200;
    if (status === 409) return { type: "refused", reason: "older epoch" };
    const report = agent.report(nowMs);
    if (model.reportsHalfUsage) report.tasks = report.tasks.map(halveUsage);
    return { type: "report", report };
  }
  const { status, state } = call.type === "start"
    ? agent.start(call, nowMs)
    : agent.applyAction({ ...call, type: call.type }, nowMs);
  return state === undefined
    ? { type: "refused", reason: String(status) }
    : { type: "done", state };
}

function halveUsage<Task extends Pick<WorkerTask, "used">>(task: Task): Task {
  const { cores, memory_gb, accelerators } = task.used;
  const used = { cores: cores / 2, memory_gb: memory_gb / 2, accelerators };
  return { ...task, used };
}
