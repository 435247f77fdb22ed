/**
 * Tracks the workers' reports and clocks and the calls to them.
 *
 * @module
 */

import type {
  JobObservations,
  TaskReport,
  WorkerReport,
} from "../job_observations.ts";
import type {
  TaskFence,
  WorkerCall,
  WorkerClockReport,
  WorkerOutcome,
} from "../worker_call.ts";

/** Time in milliseconds that a checkpoint before a preemption may take. */
export const CHECKPOINT_WAIT_MS = 1_000;

/** Age in milliseconds from which an earlier checkpoint call is ignored. */
const MAX_CHECKPOINT_AGE_MS = 5 * CHECKPOINT_WAIT_MS;

type Times = { sentAtMs: number; nowMs: number };

/** Change to a task that a worker confirmed and no report shows yet. */
type ConfirmedChange = { atMs: number; patch: Partial<TaskReport> };

type TrackedWorker = {
  report: WorkerReport & { tasks: Map<string, TaskReport> };
  /** Worker's clock in its last report, and the log time of that call. */
  clock: { workerMs: number; sentAtMs: number } | undefined;
  leaseSentAtMs: number | undefined;
  /** Confirmed changes by job. */
  confirmed: Map<string, ConfirmedChange[]>;
  /** Log time of the first recent checkpoint call, by job and attempt. */
  checkpointsSent: Map<string, number>;
};

/** Reports of the workers, updated with the outcomes of later calls. */
export type WorkerTracker = {
  observations: JobObservations;
  recordSent(call: WorkerCall, nowMs: number): void;
  recordOutcome(call: WorkerCall, outcome: WorkerOutcome, times: Times): void;
  /**
   * Estimates a worker's clock at a log time. The clock was read after the call
   * was sent, so the estimate is an upper bound, apart from clock drift.
   */
  workerClockAt(worker: string, nowMs: number): number | undefined;
  /** Returns the log time at which a lease was last sent to a worker. */
  leaseSentAtMs(worker: string): number | undefined;
  /**
   * Reports whether a checkpoint was requested recently and has had
   * {@linkcode CHECKPOINT_WAIT_MS} to finish.
   */
  hasTriedCheckpoint(
    task: TaskFence & { worker: string },
    nowMs: number,
  ): boolean;
};

/** Creates a tracker that knows no worker yet. */
export function createWorkerTracker(): WorkerTracker {
  const trackedWorkers = new Map<string, TrackedWorker>();
  const observations = new Map<string, WorkerReport>();
  function trackedWorker(worker: string): TrackedWorker {
    let tracked = trackedWorkers.get(worker);
    if (tracked === undefined) {
      trackedWorkers.set(worker, tracked = createTrackedWorker());
    }
    return tracked;
  }
  return {
    observations,
    recordSent(call, nowMs) {
      const tracked = trackedWorker(call.worker);
      if (call.type === "start" || call.type === "renew") {
        tracked.leaseSentAtMs = nowMs;
      }
      if (call.type !== "checkpoint") return;
      const key = `${call.job} ${call.attempt}`;
      const first = tracked.checkpointsSent.get(key);
      if (first === undefined || nowMs - first > MAX_CHECKPOINT_AGE_MS) {
        tracked.checkpointsSent.set(key, nowMs);
      }
    },
    recordOutcome(call, outcome, times) {
      const tracked = trackedWorker(call.worker);
      const { report } = tracked;
      report.isReachable = outcome.type !== "unreachable" &&
        outcome.type !== "unknown";
      if (!report.isReachable) return;
      report.heardAtMs = times.nowMs;
      if (outcome.type === "report") {
        applyReport(tracked, outcome.report, times);
      }
      if (outcome.type === "done" && "job" in call) {
        applyConfirmedCall(tracked, call, { state: outcome.state, times });
      }
      if (tracked.clock !== undefined) observations.set(call.worker, report);
    },
    workerClockAt(worker, nowMs) {
      const clock = trackedWorkers.get(worker)?.clock;
      return clock && clock.workerMs + nowMs - clock.sentAtMs;
    },
    leaseSentAtMs: (worker) => trackedWorkers.get(worker)?.leaseSentAtMs,
    hasTriedCheckpoint({ worker, job, attempt }, nowMs) {
      const sent = trackedWorkers.get(worker)?.checkpointsSent;
      const atMs = sent?.get(`${job} ${attempt}`);
      const ageMs = nowMs - (atMs ?? nowMs);
      return ageMs >= CHECKPOINT_WAIT_MS && ageMs <= MAX_CHECKPOINT_AGE_MS;
    },
  };
}

function createTrackedWorker(): TrackedWorker {
  return {
    report: {
      isReachable: false,
      heardAtMs: 0,
      takenAtMs: 0,
      tasks: new Map(),
    },
    clock: undefined,
    leaseSentAtMs: undefined,
    confirmed: new Map(),
    checkpointsSent: new Map(),
  };
}

function applyReport(
  tracked: TrackedWorker,
  answer: WorkerClockReport,
  { sentAtMs }: Times,
): void {
  tracked.clock = { workerMs: answer.clockMs, sentAtMs };
  // The worker read its clock after the call was sent, so this converts to the
  // earliest log time at which an event can have happened.
  const toLogTime = (workerMs: number) => workerMs - answer.clockMs + sentAtMs;
  const takenAtMs = toLogTime(answer.takenAtMs);
  const { report } = tracked;
  // Answers may arrive out of order.
  if (takenAtMs < report.takenAtMs) return;
  report.takenAtMs = takenAtMs;
  report.tasks = new Map();
  for (const { job, ...task } of answer.tasks) {
    report.tasks.set(job, {
      ...task,
      startedAtMs: toLogTime(task.startedAtMs),
      throttledAtMs: task.throttledAtMs && toLogTime(task.throttledAtMs),
      checkpointedAtMs: task.checkpointedAtMs &&
        toLogTime(task.checkpointedAtMs),
    });
  }
  for (const [job, list] of tracked.confirmed) {
    const later = list.filter(({ atMs }) => atMs >= takenAtMs);
    if (later.length === 0) tracked.confirmed.delete(job);
    else tracked.confirmed.set(job, later);
    for (const { patch } of later) applyPatch(report.tasks, job, patch);
  }
  for (const key of tracked.checkpointsSent.keys()) {
    const job = key.slice(0, key.lastIndexOf(" "));
    if (!report.tasks.has(job)) tracked.checkpointsSent.delete(key);
  }
}

function applyPatch(
  tasks: Map<string, TaskReport>,
  job: string,
  patch: Partial<TaskReport>,
): void {
  const task = tasks.get(job);
  const isSame = task?.attempt === patch.attempt;
  // The end of an attempt is final.
  const isEnded = isSame && task !== undefined &&
    task.state !== "running" && task.state !== "throttled";
  if (isEnded || (task?.attempt ?? -1) > patch.attempt!) return;
  const base = isSame && task !== undefined ? task : {
    attempt: patch.attempt!,
    state: "running" as const,
    used: { cores: 0, memory_gb: 0, accelerators: 0 },
    startedAtMs: 0,
  };
  tasks.set(job, { ...base, ...patch });
}

function applyConfirmedCall(
  tracked: TrackedWorker,
  call: Extract<WorkerCall, { job: string }>,
  { state, times }: { state: TaskReport["state"]; times: Times },
): void {
  const { attempt, job } = call;
  const atMs = times.nowMs;
  const patch: Partial<TaskReport> = { attempt, state };
  if (call.type === "start") patch.startedAtMs = atMs;
  if (call.type === "throttle") patch.throttledAtMs = atMs;
  if (call.type === "checkpoint") patch.checkpointedAtMs = atMs;
  const list = tracked.confirmed.get(job) ?? [];
  list.push({ atMs, patch });
  tracked.confirmed.set(job, list);
  applyPatch(tracked.report.tasks, job, patch);
}
