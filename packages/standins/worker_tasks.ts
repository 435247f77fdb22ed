/**
 * Implements the tasks of a worker agent: leases, attempts, epochs and reports.
 *
 * @module
 */

/** Task of a worker agent. All times are milliseconds of the worker's clock. */
export type WorkerTask = {
  job: string;
  attempt: number;
  state:
    | "running"
    | "throttled"
    | "succeeded"
    | "failed"
    | "stopped"
    | "expired";
  leaseEndMs: number;
  startedAtMs: number;
  throttledAtMs: number | undefined;
  checkpointedAtMs: number | undefined;
  /** Resources that the task uses. */
  used: { cores: number; memory_gb: number; accelerators: number };
  /** Time at which it completes unless it is stopped or its lease expires. */
  endsAtMs: number;
  /** Whether it fails instead of succeeding at that time. */
  willFail: boolean;
};

/** Request to start a task. */
export type WorkerStart = Pick<WorkerTask, "job" | "attempt" | "leaseEndMs"> & {
  /** Epoch of the decider that sends the request. */
  epoch: number;
  /** Time after which the request is refused. */
  startByMs: number;
  /** Resources that are reserved for the task. */
  size: WorkerTask["used"];
};

/** Usage, run time and result of a task. */
export type TaskBehaviour = Pick<WorkerTask, "used" | "willFail"> & {
  runMs: number;
};

/** Report of a worker about its tasks. */
export type TaskReport = {
  /** Time on the worker's clock at which the report is sent. */
  clockMs: number;
  /** Time at which the states and usage were recorded. */
  takenAtMs: number;
  tasks: Omit<WorkerTask, "leaseEndMs" | "endsAtMs" | "willFail">[];
};

/** Response to a call: an HTTP status and the state of the task. */
export type WorkerReply = { status: number; state?: WorkerTask["state"] };

/** Tasks of a worker. Calls with an outdated attempt or epoch get 409. */
export type WorkerTasks = {
  /** Latest task of each job. */
  tasks: Map<string, WorkerTask>;
  /** Ends the tasks whose lease has expired or whose run time is over. */
  advance(nowMs: number): void;
  start(request: WorkerStart, nowMs: number): WorkerReply;
  applyAction(action: TaskAction, nowMs: number): WorkerReply;
  /** Extends the leases of all running tasks; returns an HTTP status. */
  renew(lease: { epoch: number; leaseEndMs: number }, nowMs: number): number;
  report(nowMs: number): TaskReport;
};

/** Action on a task that was started before. */
export type TaskAction = {
  type: "throttle" | "checkpoint" | "stop";
  job: string;
  attempt: number;
  epoch: number;
};

/** Options of {@linkcode createWorkerTasks}. */
export type WorkerTasksOptions = {
  /** Minimum age of reports in milliseconds; 0 by default. */
  reportLagMs?: number;
  chooseBehaviour: (start: WorkerStart) => TaskBehaviour;
  /** Called when a task starts or ends. */
  onChange?: (task: WorkerTask) => void;
};

/** Time in milliseconds for which ended tasks stay in reports. */
const ENDED_RETENTION_MS = 600_000;

/**
 * Creates a worker without tasks. Leases are checked before each call, so that
 * a worker that was paused until after the end of a lease does not go on with
 * its task.
 *
 * @example
 * ```ts
 * const worker = createWorkerTasks({ behave });
 * worker.start(request, Date.now());
 * ```
 */
export function createWorkerTasks(options: WorkerTasksOptions): WorkerTasks {
  const tasks = new Map<string, WorkerTask>();
  const endedAtMs = new Map<string, number>();
  const reports: TaskReport[] = [];
  let epoch = 0;
  function setState(
    task: WorkerTask,
    state: WorkerTask["state"],
    atMs: number,
  ) {
    task.state = state;
    if (!isRunning(task)) endedAtMs.set(task.job, atMs);
    options.onChange?.(task);
  }
  function advance(nowMs: number): void {
    for (const task of tasks.values()) {
      if (!isRunning(task)) {
        const isRetentionOver =
          nowMs - (endedAtMs.get(task.job) ?? 0) > ENDED_RETENTION_MS;
        if (isRetentionOver) tasks.delete(task.job);
      } else if (Math.min(task.endsAtMs, task.leaseEndMs) <= nowMs) {
        const isExpired = task.leaseEndMs < task.endsAtMs;
        const end = task.willFail ? "failed" : "succeeded";
        setState(task, isExpired ? "expired" : end, nowMs);
      }
    }
  }
  function newTask(
    { job, attempt, leaseEndMs }: WorkerStart,
    nowMs: number,
  ): WorkerTask {
    return {
      job,
      attempt,
      state: "running",
      leaseEndMs,
      startedAtMs: nowMs,
      throttledAtMs: undefined,
      checkpointedAtMs: undefined,
      used: { cores: 0, memory_gb: 0, accelerators: 0 },
      endsAtMs: Infinity,
      willFail: false,
    };
  }
  function start(request: WorkerStart, nowMs: number): WorkerReply {
    advance(nowMs);
    const existing = tasks.get(request.job);
    if (existing !== undefined && existing.attempt >= request.attempt) {
      // Starts are idempotent: a repeated one returns the state of the task.
      return existing.attempt === request.attempt
        ? { status: 200, state: existing.state }
        : { status: 409 };
    }
    const isLate = nowMs > request.startByMs || nowMs >= request.leaseEndMs;
    if (request.epoch < epoch || isLate) return { status: 409 };
    epoch = request.epoch;
    if (existing !== undefined && isRunning(existing)) {
      setState(existing, "stopped", nowMs);
    }
    const { runMs, ...behaviour } = options.chooseBehaviour(request);
    const task = { ...newTask(request, nowMs), ...behaviour };
    task.endsAtMs = nowMs + runMs;
    tasks.set(request.job, task);
    options.onChange?.(task);
    advance(nowMs);
    return { status: 201, state: task.state };
  }
  function applyTaskAction(action: TaskAction, nowMs: number): WorkerReply {
    advance(nowMs);
    const { job, attempt, type } = action;
    const task = tasks.get(job);
    const isOutdated = (task?.attempt ?? 0) > attempt || action.epoch < epoch;
    if (isOutdated) return { status: 409 };
    epoch = action.epoch;
    if (task?.attempt !== attempt) {
      if (type !== "stop") return { status: 404 };
      // Records the stopped attempt, so that a start of it that arrives later
      // does not run it.
      const stopped = newTask({ ...EMPTY_START, ...action }, nowMs);
      if (task !== undefined && isRunning(task)) {
        setState(task, "stopped", nowMs);
      }
      tasks.set(job, stopped);
      stopped.state = "stopped";
      endedAtMs.set(job, nowMs);
      return { status: 200, state: "stopped" };
    }
    if (!isRunning(task)) return { status: 200, state: task.state };
    if (type === "checkpoint") task.checkpointedAtMs = nowMs;
    else if (type === "stop") setState(task, "stopped", nowMs);
    else {
      task.throttledAtMs = nowMs;
      task.state = "throttled";
      task.used = { ...task.used, cores: task.used.cores / 2 };
    }
    return { status: 200, state: task.state };
  }
  function report(nowMs: number): TaskReport {
    advance(nowMs);
    reports.push({
      clockMs: nowMs,
      takenAtMs: nowMs,
      tasks: [...tasks.values()].map((
        { leaseEndMs: _lease, endsAtMs: _ends, willFail: _fails, ...reported },
      ) => ({ ...reported, used: { ...reported.used } })),
    });
    const latestTakenAtMs = nowMs - (options.reportLagMs ?? 0);
    while ((reports[1]?.takenAtMs ?? Infinity) <= latestTakenAtMs) {
      reports.shift();
    }
    return { ...reports[0]!, clockMs: nowMs };
  }
  return {
    tasks,
    advance,
    start,
    applyAction: applyTaskAction,
    report,
    renew(lease, nowMs) {
      advance(nowMs);
      if (lease.epoch < epoch) return 409;
      epoch = lease.epoch;
      for (const task of tasks.values()) {
        if (!isRunning(task)) continue;
        task.leaseEndMs = Math.max(task.leaseEndMs, lease.leaseEndMs);
      }
      return 200;
    },
  };
}

const EMPTY_START = {
  leaseEndMs: 0,
  startByMs: 0,
  size: { cores: 0, memory_gb: 0, accelerators: 0 },
};

function isRunning(task: WorkerTask): boolean {
  return task.state === "running" || task.state === "throttled";
}
