/**
 * Log of the lasting tasks that do not run, with the reasons.
 *
 * @module
 */

import {
  type ExecutorState,
  freeCapacityOf,
  isLastResort,
  isOfService,
  isSchedulable,
} from "../executor_state.ts";
import { hasEnded, type Run, type Task } from "../job.ts";
import { isGroupReady } from "../occurrences.ts";
import {
  createPlacementBudget,
  type PlacementBudget,
} from "../organisations/caps/placement_budget.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { findObstacle } from "./find_obstacle.ts";
import { mayRun } from "./start_tasks.ts";

/** Time without a report of a run after which a lasting task is logged. */
const MIN_WAIT_MS = 2_000;

/** Shortest time between two log lines about a task. */
const REPEAT_MS = 2_000;

/** Interval between two searches for waiting tasks. */
const INTERVAL_MS = 500;

/** Log of the lasting tasks that do not run. */
export type WaitingLog = {
  /** Logs the tasks that wait, unless it was called shortly before. */
  check(): void;
};

/**
 * Creates a log of an owner's lasting tasks that have had no run, or none that
 * its executor reports, for 2 s. A line tells what each executor lacks.
 *
 * @example
 * ```ts
 * const waitingLog = createWaitingLog(owner);
 * waitingLog.check();
 * ```
 */
export function createWaitingLog(owner: OwnerState): WaitingLog {
  const loggedAtMs = new WeakMap<Task, number>();
  let checkedAtMs = -Infinity;

  const logTask = (
    task: Task,
    { nowMs, budget }: { nowMs: number; budget: PlacementBudget | undefined },
  ) => {
    const [run] = task.runs;
    const sinceMs = run?.reportedAtMs ?? task.waitingSinceMs;
    if (nowMs - sinceMs < MIN_WAIT_MS) return;
    if (nowMs - (loggedAtMs.get(task) ?? -Infinity) < REPEAT_MS) return;
    loggedAtMs.set(task, nowMs);
    owner.options.events.log("taskWaiting", {
      task: task.name,
      waitedMs: Math.round(nowMs - sinceMs),
      reason: run === undefined
        ? explainWait(owner, task, { nowMs, budget })
        : explainRun(run),
    });
  };

  return {
    check() {
      const nowMs = performance.now();
      if (nowMs - checkedAtMs < INTERVAL_MS) return;
      checkedAtMs = nowMs;
      const budget = createPlacementBudget(owner);
      for (const job of owner.jobs.values()) {
        if (hasEnded(job)) continue;
        for (const group of job.groups) {
          if (!group.step.isLasting || !isGroupReady(group)) continue;
          for (const task of group.tasks) logTask(task, { nowMs, budget });
        }
      }
    },
  };
}

/** Returns why a task without a run is not placed. */
function explainWait(
  owner: OwnerState,
  task: Task,
  { nowMs, budget }: { nowMs: number; budget: PlacementBudget | undefined },
): string {
  if (task.blockedUntilMs > nowMs) {
    const leftMs = Math.round(task.blockedUntilMs - nowMs);
    return `blocked by runs of earlier owners for up to ${leftMs} ms`;
  }
  if (task.heldUntilMs > nowMs) return "an executor may have crashed under it";
  if (task.backoffUntilMs > nowMs) {
    const leftMs = Math.round(task.backoffUntilMs - nowMs);
    return `waits ${leftMs} ms after ${task.crashes.length} crashes under it`;
  }
  const { job, step } = task.group;
  if (budget?.count(job, step.size) === 0) {
    return "its organisation is at the limit of its cap here";
  }
  if (!job.hasStoredProgress) return "progress is not stored yet";
  const executors = [...owner.executors.values()]
    .filter((executor) => isOfService(executor, task.group));
  const counts = new Map<string, number>();
  for (const executor of executors) {
    const reason = findUnavailability(executor, nowMs) ??
      findObstacle(task.group, executor, {
        free: freeCapacityOf(executor),
        placedCount: 0,
        mayRun: (group) => mayRun(owner, group, { executors, executor }),
      }) ?? "usable";
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  const parts = [...counts].map(([reason, count]) => `${count} ${reason}`);
  return `${executors.length} executors: ${parts.join(", ")}`;
}

function explainRun({ number, state, executor, stopReason }: Run): string {
  const stop = stopReason === "" ? "" : `, stopped as ${stopReason}`;
  const calls = `${executor.failedCalls} calls without an answer`;
  return `run ${number} on ${executor.id} is ${state}${stop}, ${calls}`;
}

/** Returns why an executor gets no tasks at all; undefined if it may. */
function findUnavailability(
  executor: ExecutorState,
  nowMs: number,
): string | undefined {
  if (isSchedulable(executor, nowMs) || isLastResort(executor, nowMs)) {
    return undefined;
  }
  if (executor.isRemoved) return "gone";
  if (executor.clockOffsetMs === undefined) return "unheard";
  if (executor.failedCalls > 0) return "silent";
  if (executor.report.isDraining) return "draining";
  return executor.isReserved ? "reserved" : "suspended";
}
