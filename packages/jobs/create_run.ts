import type { ExecutorState, Run, Task } from "./model.ts";

/**
 * Creates a run whose start has not been requested yet. It occupies no capacity
 * until it is added to its executor.
 *
 * @example
 * ```ts
 * addRun(createRun(task, executor, { number: 1 }));
 * ```
 */
export function createRun(
  task: Task,
  executor: ExecutorState,
  { number }: { number: number },
): Run {
  const nowMs = performance.now();
  return {
    task,
    number,
    executor,
    state: "starting",
    pendingCrash: undefined,
    startedAtMs: nowMs,
    progressPercent: 0,
    initialProgressPercent: 0,
    reportedAtMs: nowMs,
    progressedAtMs: nowMs,
    ratePercent: 100,
    confirmedClockMs: undefined,
    probedStartAtMs: undefined,
    listedClockMs: -Infinity,
    checkpoint: task.checkpoint,
    stopReason: "",
    load: 0,
  };
}
