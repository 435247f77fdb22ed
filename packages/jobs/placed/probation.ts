/**
 * Runs on probation: the executor has not been seen to outlast their start, so
 * that a crash of it may be theirs. Tasks under which several executors have
 * crashed start apart from each other, so that the next crash has one cause.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { Run, Task } from "../job.ts";

/** Time that an executor has to outlast a start, by its own clock. */
const PROBATION_MS = 2_000;

/** Crashes under a task from which it starts apart from others like it. */
const MIN_ISOLATED_CRASHES = 2;

/** Time after which a task starts, although not apart from others like it. */
const MAX_ISOLATION_WAIT_MS = 2_000;

/** Returns whether the executor has not been seen to outlast a start. */
export function isOnProbation(
  { confirmedClockMs, listedClockMs }: Run,
): boolean {
  return confirmedClockMs === undefined ||
    listedClockMs - confirmedClockMs < PROBATION_MS;
}

/** Returns whether a task may have crashed several executors. */
export function isSuspect({ crashes }: Task): boolean {
  return crashes.length >= MIN_ISOLATED_CRASHES;
}

/** Returns whether a task has to start apart from others like it. */
export function mustStartApart(task: Task, monotonicMs: number): boolean {
  // A gang works only as a whole, wherever its tasks start.
  return isSuspect(task) && !task.group.step.isGang &&
    monotonicMs - task.waitingSinceMs < MAX_ISOLATION_WAIT_MS;
}

/** Returns whether a run of a suspect task is on probation on an executor. */
export function hasSuspectRun({ runs }: ExecutorState): boolean {
  for (const run of runs) {
    if (isSuspect(run.task) && isOnProbation(run)) return true;
  }
  return false;
}
