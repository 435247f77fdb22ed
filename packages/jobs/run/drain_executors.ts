/**
 * Draining of executors that leave or whose machine is to be moved or
 * maintained.
 *
 * @module
 */

import type { Run, TaskGroup } from "../job.ts";
import { type OwnerState, stopRun } from "../owned/owner_state.ts";
import { findFreePlaces, type FreePlaces } from "../placed/free_places.ts";

/**
 * Time after a takeover in which stop requests of the earlier owner may still
 * take effect. Stopping tasks as well could exceed the disruption budget.
 */
const EARLIER_STOPS_MS = 1_500;

/** Progress at which a lasting task is ready, such as to serve requests. */
const READY_PERCENT = 100;

/**
 * Stops lasting tasks on executors that leave or are reserved, as far as each
 * has a place elsewhere. On reserved executors, this respects the disruption
 * budget of each step. Other tasks run to their end there.
 */
export function drainExecutors(owner: OwnerState): void {
  const sinceTakeoverMs = performance.now() - owner.takenOverAtMs;
  const isSettled = sinceTakeoverMs >= EARLIER_STOPS_MS;
  if (owner.unconfirmedExecutors.size > 0 || !isSettled) return;
  let places: FreePlaces | undefined;
  for (const run of findRunsToDrain(owner)) {
    const { isDraining } = run.executor.report;
    const mayStop = isDraining || isWithinDisruptionBudget(run.task.group);
    if (!mayStop) continue;
    places ??= findFreePlaces(owner);
    if (!places.take(run)) continue;
    stopRun(
      owner,
      run,
      isDraining ? "the executor is leaving" : "the executor is reserved",
    );
  }
}

/** Returns the lasting runs to stop, those on executors that leave first. */
function findRunsToDrain(owner: OwnerState): Run[] {
  const executors = [...owner.executors.values()].filter((executor) =>
    !executor.isRemoved && executor.failedCalls === 0
  );
  const leaving = executors.filter(({ report }) => report.isDraining);
  const reserved = executors.filter(({ report, isReserved }) =>
    isReserved && !report.isDraining
  );
  return [...leaving, ...reserved].flatMap(({ runs }) => [...runs])
    .filter(({ task, stopReason }) =>
      task.group.step.isLasting && stopReason === ""
    );
}

/** Returns whether the budget of a step allows to stop one more task. */
export function isWithinDisruptionBudget(group: TaskGroup): boolean {
  const unavailable =
    group.tasks.filter((task) => !task.runs.some(isReady)).length;
  return unavailable + 1 <= Math.max(group.step.maxAway, 1);
}

function isReady(run: Run): boolean {
  const { failedCalls, isRemoved, report } = run.executor;
  // The last report of an unreachable executor may be outdated, and the runs of
  // one that leaves are stopped whatever the budget allows.
  if (failedCalls > 0 || isRemoved || report.isDraining) return false;
  return run.state === "running" && run.progressPercent >= READY_PERCENT &&
    run.stopReason === "";
}
