import type {
  ExecutorClient,
  ExecutorReport,
  ExecutorTarget,
  PollOutcome,
  RunEnd,
  StartOutcome,
  StartRequest,
} from "@lagoonloom/jobs";

/** Fault of an executor that a test sets. */
export type MemoryFault =
  /** Calls get no answer and do nothing, and work goes on. */
  | "unreachable"
  /** Orders are carried out and not answered. */
  | "losingAnswers"
  /** Orders get no answer and are carried out when the test says. */
  | "delayed";

type MemoryRun = { run: number; checkpoint: string; startedAtMs: number };

/** One executor in memory. */
export type MemoryExecutor = {
  report: ExecutorReport;
  fault: MemoryFault | undefined;
  running: Map<string, MemoryRun>;
  /** Progress in percent by task; 100 if a test sets none. */
  progress: Map<string, number>;
  ends: RunEnd[];
  /** Starts that were carried out, in order. */
  starts: { task: string; run: number; fencingToken: number }[];
  token: number;
  leaseExpiryMs: number;
  /** Carries out the orders that came late. */
  deliverDelayed(): void;
  /** Ends a task. */
  end(task: string, how: RunEnd["result"]): void;
};

/** Executors in memory and the calls to them. */
export type MemoryExecutors = ExecutorClient & {
  add(report: ExecutorReport): MemoryExecutor;
};

/** Size of the difference between the executors' clock and the steady one. */
const CLOCK_OFFSET_MS = 1_000_000;

/**
 * Creates executors that keep tokens, leases, run numbers and the ends that
 * are not confirmed, as the platform's pages say.
 */
export function createMemoryExecutors(): MemoryExecutors {
  const executors = new Map<string, MemoryExecutor>();
  const late = new Map<MemoryExecutor, (() => void)[]>();
  const highest = new Map<MemoryExecutor, Map<string, number>>();
  const watching = new Set<() => void>();

  const clock = () => performance.now() + CLOCK_OFFSET_MS;

  const lapse = (executor: MemoryExecutor) => {
    if (clock() <= executor.leaseExpiryMs) return;
    for (const task of [...executor.running.keys()]) {
      executor.end(task, "lapsed");
    }
  };

  const admit = (executor: MemoryExecutor, token: number): boolean => {
    lapse(executor);
    if (token < executor.token) return false;
    executor.token = token;
    return true;
  };

  const start = (
    executor: MemoryExecutor,
    order: StartRequest,
  ): StartOutcome => {
    const refuse = (reason: "fence" | "late" | "old"): StartOutcome => ({
      type: "refused",
      reason,
      clockMs: clock(),
    });
    if (!admit(executor, order.fencingToken)) return refuse("fence");
    if (order.leaseExpiryMs <= clock()) return refuse("late");
    executor.leaseExpiryMs = Math.max(
      executor.leaseExpiryMs,
      order.leaseExpiryMs,
    );
    const known = executor.running.get(order.task);
    if (known?.run === order.run) return { type: "started", clockMs: clock() };
    const past = highest.get(executor)!.get(order.task) ?? 0;
    if (known !== undefined || order.run <= past) return refuse("old");
    executor.running.set(order.task, {
      run: order.run,
      checkpoint: order.checkpoint,
      startedAtMs: performance.now(),
    });
    executor.starts.push({
      task: order.task,
      run: order.run,
      fencingToken: order.fencingToken,
    });
    return { type: "started", clockMs: clock() };
  };

  const look = (executor: MemoryExecutor, confirmed: number): PollOutcome => {
    executor.ends = executor.ends.filter(({ sequence: number }) =>
      number > confirmed
    );
    return {
      type: "polled",
      clockMs: clock(),
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

  /** Carries an order out as the executor's fault says. */
  const deliver = <Outcome>(
    target: ExecutorTarget,
    run: (executor: MemoryExecutor) => Outcome,
  ): Outcome | { type: "unknown"; reason: string } => {
    const lost = { type: "unknown" as const, reason: "no answer" };
    const executor = executors.get(target.id);
    if (executor === undefined || executor.fault === "unreachable") return lost;
    if (executor.fault === "delayed") {
      const orders = late.get(executor) ?? [];
      orders.push(() => run(executor));
      late.set(executor, orders);
      return lost;
    }
    const outcome = run(executor);
    return executor.fault === "losingAnswers" ? lost : outcome;
  };

  return {
    add(report) {
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
        deliverDelayed() {
          for (const order of late.get(executor) ?? []) order();
          late.delete(executor);
        },
        end(task, how) {
          const run = executor.running.get(task);
          if (run === undefined) return;
          executor.running.delete(task);
          highest.get(executor)!.set(task, run.run);
          executor.ends.push({
            sequence: ++ended,
            task,
            run: run.run,
            result: how,
            checkpoint: run.checkpoint,
          });
          for (const wake of watching) wake();
        },
      };
      executors.set(report.id, executor);
      highest.set(executor, new Map());
      return executor;
    },
    start: (target, order) =>
      Promise.resolve(deliver(target, (executor) => start(executor, order))),
    stop: (target, { task, run, fencingToken: token }) =>
      Promise.resolve(deliver(target, (executor) => {
        if (!admit(executor, token)) return { type: "fenced" as const };
        const runs = highest.get(executor)!;
        runs.set(task, Math.max(runs.get(task) ?? 0, run));
        if (executor.running.get(task)?.run === run) {
          executor.end(task, "stopped");
        }
        return { type: "done" as const };
      })),
    throttle: () => Promise.resolve({ type: "done" }),
    async poll(
      target,
      {
        leaseExpiryMs: untilMs,
        fencingToken: token,
        acknowledgedSequence: confirmed,
        waitMs,
      },
    ) {
      const executor = executors.get(target.id);
      if (executor === undefined || executor.fault === "unreachable") {
        return { type: "unknown", reason: "no answer" };
      }
      if (!admit(executor, token)) return { type: "fenced" };
      if (untilMs !== undefined) {
        executor.leaseExpiryMs = Math.max(executor.leaseExpiryMs, untilMs);
      }
      const first = look(executor, confirmed);
      if (waitMs === 0 || executor.ends.length > 0) return first;
      await new Promise<void>((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          watching.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        watching.add(finish);
      });
      return look(executor, confirmed);
    },
  };
}
