/**
 * Implements the platform's executors in memory, for tests of jobs.
 *
 * @module
 */

import type {
  ExecutorClient,
  ExecutorReport,
  ExecutorTarget,
  PollOutcome,
  RunEnd,
  StartOutcome,
  StartRequest,
} from "@lagoonloom/jobs";

/** Fault of an executor that a test injects. */
export type MemoryFault =
  /** Calls have no effect and get no answer; running tasks go on. */
  | "unreachable"
  /** Starts and stops take effect but get no answer. */
  | "losingAnswers"
  /** Starts and stops get no answer and wait for `deliverDelayed()`. */
  | "delayed";

type MemoryRun = { run: number; checkpoint: string; startedAtMs: number };

/** Executor in memory. */
export type MemoryExecutor = {
  report: ExecutorReport;
  fault: MemoryFault | undefined;
  /** Current run by task. */
  running: Map<string, MemoryRun>;
  /** Progress in percent by task; 100 unless a test sets another value. */
  progress: Map<string, number>;
  /** Ends of runs that no poll has acknowledged yet. */
  ends: RunEnd[];
  /** Starts that took effect, in order. */
  starts: { task: string; run: number; token: number }[];
  /** Highest fencing token so far; calls with a lower one are refused. */
  token: number;
  /** Time on the executor's clock at which its lease expires. */
  leaseExpiryMs: number;
  /** Monotonic time at which a lease of it was last seen to be over. */
  lapsedAtMs: number;
  /** Speed of its clock; 1 is that of the monotonic clock. */
  clockRate: number;
  /** Time that its clock shows as the monotonic clock shows 0. */
  clockOffsetMs: number;
  /** Reads its clock. */
  clockMs(): number;
  /**
   * Carries out the starts and stops that the fault `delayed` held back, at
   * this executor or at the next process with its id.
   */
  deliverDelayed(at?: MemoryExecutor): void;
  /** Ends the current run of a task, if there is one. */
  end(task: string, result: RunEnd["result"]): void;
};

/** Options of an executor in memory. */
export type MemoryExecutorOptions = {
  /** Whether a task may start; by default, each may. */
  hasCapacityFor?(task: string): boolean;
  /** Clock of its process; by default, all have the same one. */
  clock?: Pick<MemoryExecutor, "clockRate" | "clockOffsetMs"> | undefined;
  /** Time that a run needs to stop, in milliseconds; 0 by default. */
  stopMs?: number;
};

/** Client of executors in memory. */
export type MemoryExecutors = ExecutorClient & {
  /** Adds an executor that runs nothing yet. */
  add(report: ExecutorReport, options?: MemoryExecutorOptions): MemoryExecutor;
};

function hasFault(executor: MemoryExecutor, fault: MemoryFault): boolean {
  return executor.fault === fault;
}

/** Clock of executors by default. */
const DEFAULT_CLOCK = { clockRate: 1, clockOffsetMs: 1_000_000 };

/** Longest lease that executors grant by default. */
const DEFAULT_MAX_LEASE_MS = 6_000;

/**
 * Creates a client without executors. The executors implement fencing tokens,
 * leases, run numbers and acknowledgement of ends as the documentation of the
 * platform requires.
 */
export function createMemoryExecutors(
  { maxLeaseMs = DEFAULT_MAX_LEASE_MS }: {
    /** Longest lease that the executors grant. */
    maxLeaseMs?: number;
  } = {},
): MemoryExecutors {
  const executors = new Map<string, MemoryExecutor>();
  const delayedRequests = new Map<
    MemoryExecutor,
    ((at: MemoryExecutor) => void)[]
  >();
  const highestRuns = new Map<MemoryExecutor, Map<string, number>>();
  const optionsOf = new Map<MemoryExecutor, MemoryExecutorOptions>();
  const pollWaiters = new Set<() => void>();

  const extendLease = (executor: MemoryExecutor, leaseExpiryMs: number) => {
    const longestMs = executor.clockMs() + maxLeaseMs;
    executor.leaseExpiryMs = Math.max(
      executor.leaseExpiryMs,
      Math.min(leaseExpiryMs, longestMs),
    );
  };

  const expireLease = (executor: MemoryExecutor) => {
    if (executor.clockMs() <= executor.leaseExpiryMs) return;
    executor.lapsedAtMs = performance.now();
    for (const task of [...executor.running.keys()]) {
      executor.end(task, "lapsed");
    }
  };

  const acceptToken = (
    executor: MemoryExecutor,
    token: number,
  ): boolean => {
    expireLease(executor);
    if (token < executor.token) return false;
    executor.token = token;
    return true;
  };

  const start = (
    executor: MemoryExecutor,
    request: StartRequest,
  ): StartOutcome => {
    const refuse = (
      reason: "fence" | "late" | "old" | "room",
    ): StartOutcome => ({
      type: "refused",
      reason,
      clockMs: executor.clockMs(),
    });
    if (!acceptToken(executor, request.token)) return refuse("fence");
    if (request.leaseExpiryMs <= executor.clockMs()) return refuse("late");
    extendLease(executor, request.leaseExpiryMs);
    const known = executor.running.get(request.task);
    if (known?.run === request.run) {
      return { type: "started", clockMs: executor.clockMs() };
    }
    const highestRun = highestRuns.get(executor)!.get(request.task) ?? 0;
    if (known !== undefined || request.run <= highestRun) return refuse("old");
    const { hasCapacityFor } = optionsOf.get(executor)!;
    if (hasCapacityFor?.(request.task) === false) return refuse("room");
    executor.running.set(request.task, {
      run: request.run,
      checkpoint: request.checkpoint,
      startedAtMs: performance.now(),
    });
    executor.starts.push({
      task: request.task,
      run: request.run,
      token: request.token,
    });
    return { type: "started", clockMs: executor.clockMs() };
  };

  const createPollOutcome = (
    executor: MemoryExecutor,
    acknowledgedSequence: number,
  ): PollOutcome => {
    executor.ends = executor.ends.filter(({ sequence }) =>
      sequence > acknowledgedSequence
    );
    return {
      type: "polled",
      clockMs: executor.clockMs(),
      startedAtMs: executor.report.startedAtMs,
      running: [...executor.running].map(([task, run]) => ({
        task,
        run: run.run,
        checkpoint: run.checkpoint,
        progressPercent: executor.progress.get(task) ?? 100,
        load: 0,
      })),
      ended: [...executor.ends],
    };
  };

  /** Carries a start or stop out, unless the executor's fault prevents it. */
  const deliver = <Outcome>(
    target: ExecutorTarget,
    run: (executor: MemoryExecutor) => Outcome,
  ): Outcome | { type: "unknown"; reason: string } => {
    const noAnswer = { type: "unknown" as const, reason: "no answer" };
    const executor = executors.get(target.id);
    if (executor === undefined || executor.fault === "unreachable") {
      return noAnswer;
    }
    if (executor.fault === "delayed") {
      const requests = delayedRequests.get(executor) ?? [];
      requests.push(run);
      delayedRequests.set(executor, requests);
      return noAnswer;
    }
    const outcome = run(executor);
    return executor.fault === "losingAnswers" ? noAnswer : outcome;
  };

  return {
    add(report, options = {}) {
      let ended = 0;
      const executor: MemoryExecutor = {
        report,
        fault: undefined,
        running: new Map(),
        progress: new Map(),
        ends: [],
        starts: [],
        token: 0,
        leaseExpiryMs: 0,
        lapsedAtMs: performance.now(),
        ...DEFAULT_CLOCK,
        ...options.clock,
        clockMs: () =>
          executor.clockRate * performance.now() + executor.clockOffsetMs,
        deliverDelayed(at = executor) {
          for (const run of delayedRequests.get(executor) ?? []) run(at);
          delayedRequests.delete(executor);
        },
        end(task, result) {
          const run = executor.running.get(task);
          if (run === undefined) return;
          executor.running.delete(task);
          const runs = highestRuns.get(executor)!;
          runs.set(task, Math.max(runs.get(task) ?? 0, run.run));
          executor.ends.push({
            sequence: ++ended,
            task,
            run: run.run,
            result,
            checkpoint: run.checkpoint,
          });
          for (const wake of pollWaiters) wake();
        },
      };
      executors.set(report.id, executor);
      highestRuns.set(executor, new Map());
      optionsOf.set(executor, options);
      return executor;
    },
    start: (target, request) =>
      Promise.resolve(deliver(target, (executor) => start(executor, request))),
    stop: (target, { task, run, token }) =>
      Promise.resolve(deliver(target, (executor) => {
        if (!acceptToken(executor, token)) {
          return { type: "fenced" as const };
        }
        const runs = highestRuns.get(executor)!;
        runs.set(task, Math.max(runs.get(task) ?? 0, run));
        const end = () => {
          if (executor.running.get(task)?.run !== run) return;
          executor.end(task, "stopped");
        };
        const { stopMs = 0 } = optionsOf.get(executor)!;
        if (stopMs === 0) end();
        else setTimeout(end, stopMs);
        return { type: "done" as const };
      })),
    throttle: () => Promise.resolve({ type: "done" }),
    async poll(
      target,
      {
        leaseExpiryMs,
        token,
        acknowledgedSequence,
        waitMs,
      },
    ) {
      const executor = executors.get(target.id);
      if (executor === undefined || executor.fault === "unreachable") {
        return { type: "unknown", reason: "no answer" };
      }
      if (!acceptToken(executor, token)) return { type: "fenced" };
      if (leaseExpiryMs !== undefined) extendLease(executor, leaseExpiryMs);
      const first = createPollOutcome(executor, acknowledgedSequence);
      if (waitMs === 0 || executor.ends.length > 0) return first;
      await new Promise<void>((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          pollWaiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        pollWaiters.add(finish);
      });
      if (hasFault(executor, "unreachable")) {
        return { type: "unknown", reason: "no answer" };
      }
      return createPollOutcome(executor, acknowledgedSequence);
    },
  };
}
