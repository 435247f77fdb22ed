/**
 * Draining of executors that leave or whose machine is to be moved or
 * maintained.
 *
 * @module
 */

import type { Run, TaskGroup } from "../job.ts";
import { type OwnerState, stopRun } from "../owned/owner_state.ts";
import {
  type ExecutorState,
  freeCapacityOf,
  isSchedulable,
  isWithin,
  occupiedBy,
} from "../executor_state.ts";

/**
 * Time after a takeover in which stop requests of the earlier owner may still
 * take effect. Stopping tasks as well could exceed the disruption budget.
 */
const EARLIER_STOPS_MS = 1_500;

/** Progress at which a lasting task is ready, such as to serve requests. */
const READY_PERCENT = 100;

/**
 * Stops lasting tasks on executors that leave or are reserved, so that they are
 * placed elsewhere. On reserved executors, this respects the disruption budget
 * of each step. Other tasks run to their end there.
 */
export function drainExecutors(owner: OwnerState): void {
  const sinceTakeoverMs = performance.now() - owner.takenOverAtMs;
  const isSettled = sinceTakeoverMs >= EARLIER_STOPS_MS;
  if (owner.unconfirmedExecutors.size > 0 || !isSettled) return;
  for (const executor of owner.executors.values()) {
    const mustDrain = executor.isReserved || executor.report.isDraining;
    if (!mustDrain || executor.isRemoved || executor.failedCalls > 0) continue;
    for (const run of executor.runs) {
      if (!run.task.group.step.isLasting || run.stopReason !== "") continue;
      const mayStop = executor.report.isDraining ||
        isWithinDisruptionBudget(run.task.group);
      if (!mayStop || !hasCapacityElsewhere(owner, run)) continue;
      stopRun(
        owner,
        run,
        executor.report.isDraining
          ? "the executor is leaving"
          : "the executor is reserved",
      );
    }
  }
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

/** Returns whether another executor has free capacity for a run. */
export function hasCapacityElsewhere(owner: OwnerState, run: Run): boolean {
  const nowMs = performance.now();
  for (const executor of owner.executors.values()) {
    if (executor === run.executor || !isSchedulable(executor, nowMs)) continue;
    if (fits(run, executor)) return true;
  }
  return false;
}

function fits(run: Run, executor: ExecutorState): boolean {
  const { group } = run.task;
  const { label, maxPerExecutor } = group.step;
  if (!isWithin(occupiedBy(group), freeCapacityOf(executor))) return false;
  if (label !== "" && !executor.report.labels.includes(label)) return false;
  if (maxPerExecutor === 0) return true;
  let groupRuns = 0;
  for (const other of executor.runs) {
    if (other.task.group === group) groupRuns++;
  }
  return groupRuns < maxPerExecutor;
}
