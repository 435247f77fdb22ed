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

/** Age in milliseconds from which an earlier checkpoint does not count. */
const MAX_CHECKPOINT_AGE_MS = 5 * CHECKPOINT_WAIT_MS;

type Times = { sentAtMs: number; nowMs: number };

/** What a call changed before a report shows it. */
type ConfirmedChange = { atMs: number; patch: Partial<TaskReport> };

type TrackedWorker = {
  report: WorkerReport & { tasks: Map<string, TaskReport> };
  /** The worker's clock and the log time at which it was asked for. */
  clock: { workerMs: number; sentAtMs: number } | undefined;
  leaseSentAtMs: number | undefined;
  confirmed: Map<string, ConfirmedChange[]>;
  /** Time of the first checkpoint that was asked for, by task and attempt. */
  checkpointsSent: Map<string, number>;
};

/** Reports of the workers with the answers to later calls. */
export type WorkerTracker = {
  observations: JobObservations;
  recordSent(call: WorkerCall, nowMs: number): void;
  recordOutcome(call: WorkerCall, outcome: WorkerOutcome, times: Times): void;
  /** Latest time that the worker's clock may show at a log time. */
  workerClockAt(worker: string, nowMs: number): number | undefined;
  /** Log time at which a lease was last sent to a worker. */
  leaseSentAtMs(worker: string): number | undefined;
  /** Whether a checkpoint was asked for and has had its time. */
  hasTriedCheckpoint(
    task: TaskFence & { worker: string },
    nowMs: number,
  ): boolean;
};

/** Creates an empty book. */
export function createWorkerTracker(): WorkerTracker {
  const trackedWorkers = new Map<string, TrackedWorker>();
  const observations = new Map<string, WorkerReport>();
  function trackedWorker(worker: string): TrackedWorker {
    let contact = trackedWorkers.get(worker);
    if (contact === undefined) {
      trackedWorkers.set(worker, contact = createTrackedWorker());
    }
    return contact;
  }
  return {
    observations,
    recordSent(call, nowMs) {
      const contact = trackedWorker(call.worker);
      if (call.type === "start" || call.type === "renew") {
        contact.leaseSentAtMs = nowMs;
      }
      if (call.type !== "checkpoint") return;
      const key = `${call.job} ${call.attempt}`;
      const first = contact.checkpointsSent.get(key);
      if (first === undefined || nowMs - first > MAX_CHECKPOINT_AGE_MS) {
        contact.checkpointsSent.set(key, nowMs);
      }
    },
    recordOutcome(call, outcome, times) {
      const contact = trackedWorker(call.worker);
      const { report } = contact;
      report.isReachable = outcome.type !== "unreachable" &&
        outcome.type !== "unknown";
      if (!report.isReachable) return;
      report.heardAtMs = times.nowMs;
      if (outcome.type === "report") {
        applyReport(contact, outcome.report, times);
      }
      if (outcome.type === "done" && "job" in call) {
        applyConfirmedCall(contact, call, { state: outcome.state, times });
      }
      if (contact.clock !== undefined) observations.set(call.worker, report);
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
  contact: TrackedWorker,
  answer: WorkerClockReport,
  { sentAtMs }: Times,
): void {
  contact.clock = { workerMs: answer.clockMs, sentAtMs };
  // The clock was read after the request was sent, so that events are placed
  // at the earliest time at which they can have happened.
  const toLogTime = (workerMs: number) => workerMs - answer.clockMs + sentAtMs;
  const takenAtMs = toLogTime(answer.takenAtMs);
  const { report } = contact;
  // Answers may overtake one another.
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
  for (const [job, list] of contact.confirmed) {
    const later = list.filter(({ atMs }) => atMs >= takenAtMs);
    if (later.length === 0) contact.confirmed.delete(job);
    else contact.confirmed.set(job, later);
    for (const { patch } of later) applyPatch(report.tasks, job, patch);
  }
  for (const key of contact.checkpointsSent.keys()) {
    const job = key.slice(0, key.lastIndexOf(" "));
    if (!report.tasks.has(job)) contact.checkpointsSent.delete(key);
  }
}

function applyPatch(
  tasks: Map<string, TaskReport>,
  job: string,
  patch: Partial<TaskReport>,
): void {
  const task = tasks.get(job);
  const isSame = task?.attempt === patch.attempt;
  // An end that a report shows is final for the attempt.
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
  contact: TrackedWorker,
  call: Extract<WorkerCall, { job: string }>,
  { state, times }: { state: TaskReport["state"]; times: Times },
): void {
  const { attempt, job } = call;
  const atMs = times.nowMs;
  const patch: Partial<TaskReport> = { attempt, state };
  if (call.type === "start") patch.startedAtMs = atMs;
  if (call.type === "throttle") patch.throttledAtMs = atMs;
  if (call.type === "checkpoint") patch.checkpointedAtMs = atMs;
  const list = contact.confirmed.get(job) ?? [];
  list.push({ atMs, patch });
  contact.confirmed.set(job, list);
  applyPatch(contact.report.tasks, job, patch);
}
