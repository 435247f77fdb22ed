/**
 * Starts that may be carried out late by the next process of their executor.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { Run } from "../job.ts";
import type { LateStart } from "../model.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { MAX_LATENESS_MS } from "./_executor_clock.ts";
import { stopUntilAnswered } from "./_stop_until_answered.ts";

/**
 * Remembers the start of a run that has ended without any sign of its executor
 * that it began. A confirmed stop binds only the process that confirmed it.
 */
export function recordLateStart(owner: OwnerState, run: Run): void {
  if (run.confirmedClockMs !== undefined) return;
  for (const executor of owner.lateStarts.keys()) {
    if (!hasLateStarts(owner, executor)) owner.lateStarts.delete(executor);
  }
  const { id } = run.executor;
  owner.lateStarts.set(id, [...recentStarts(owner, id), {
    task: run.task.name,
    run: run.number,
    givenUpAtMs: performance.now(),
  }]);
}

/**
 * Has the current process of an executor refuse the starts that it may still
 * carry out late, though their tasks have been started elsewhere.
 */
export function stopLateStarts(
  owner: OwnerState,
  executor: ExecutorState,
): void {
  const { id, address } = executor;
  const { executorClient, epoch: token } = owner.options;
  const isWanted = () =>
    !owner.isClosed && owner.executors.get(id) === executor;
  for (const { task, run } of recentStarts(owner, id)) {
    const target = { id, address };
    const request = { task, run, token };
    void stopUntilAnswered(executorClient, request, { target, isWanted });
  }
}

/** Returns whether an executor may still carry out a given-up start late. */
export function hasLateStarts(owner: OwnerState, executor: string): boolean {
  return recentStarts(owner, executor).length > 0;
}

/** Returns all given-up starts that may still be carried out late. */
export function openLateStarts(owner: OwnerState): LateStart[] {
  return [...owner.lateStarts.keys()]
    .flatMap((executor) => recentStarts(owner, executor));
}

/** Returns the starts that an executor may still carry out late. */
function recentStarts(owner: OwnerState, executor: string) {
  const sinceMs = performance.now() - MAX_LATENESS_MS;
  const starts = owner.lateStarts.get(executor) ?? [];
  return starts.filter(({ givenUpAtMs }) => givenUpAtMs >= sinceMs);
}
