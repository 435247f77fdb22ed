/**
 * Runs on probation: the executor has not been seen to outlast their start, so
 * that a crash of it may be theirs. Tasks under which several executors have
 * crashed start alone on an executor, so that the next crash has one cause.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { Run, Task } from "../job.ts";

/** Time that an executor has to outlast a start, by its own clock. */
const PROBATION_MS = 2_000;

/** The same until other tasks may start beside a suspect one. */
export const ISOLATION_MS = 300;

/** Time between the start of a suspect task and the polls around it. */
export const PROBE_MS = 30;

/** Crashes under a task from which it starts alone on an executor. */
const MIN_SUSPECT_CRASHES = 2;

/** Crashes with evidence that a run had begun, by which a task is at fault. */
const MIN_CONFIRMED_CRASHES = 2;

/** Time after which a suspect task starts, although not alone. */
const MAX_ISOLATION_WAIT_MS = 6_000;

/** Returns whether the executor has not been seen to outlast a start. */
export function isOnProbation(run: Run): boolean {
  return !hasOutlasted(run, PROBATION_MS);
}

/**
 * Returns whether there is evidence that a run began whose executor has
 * crashed: the executor confirmed the start or listed the run, or it answered
 * until the start was requested and not to the poll that followed. An executor
 * that crashes later, before it carries the start out, answers that poll.
 */
export function hasEvidentlyBegun(
  { confirmedClockMs, probedStartAtMs, executor }: Run,
): boolean {
  if (confirmedClockMs !== undefined) return true;
  return probedStartAtMs !== undefined &&
    executor.answeredAtMs < probedStartAtMs + PROBE_MS;
}

/** Returns whether a task may have crashed several executors. */
export function isSuspect({ crashes }: Task): boolean {
  return crashes.length >= MIN_SUSPECT_CRASHES;
}

/**
 * Returns whether there is evidence that a task crashes executors. Crashes
 * without evidence that a run had begun are none, and those before the task was
 * started alone may all be due to another one.
 */
export function crashesExecutors({ crashes }: Task): boolean {
  const confirmed = crashes.filter(({ isConfirmed }) => isConfirmed);
  const alone = crashes.slice(MIN_SUSPECT_CRASHES);
  return confirmed.length >= MIN_CONFIRMED_CRASHES &&
    alone.some(({ isConfirmed }) => isConfirmed);
}

/** Returns whether a task may start only where nothing else just has. */
export function mustStartAlone(task: Task, monotonicMs: number): boolean {
  // A gang works only as a whole, wherever its tasks start.
  const sinceMs = Math.max(task.waitingSinceMs, task.backoffUntilMs);
  return isSuspect(task) && !task.group.step.isGang &&
    monotonicMs - sinceMs < MAX_ISOLATION_WAIT_MS;
}

/** Tasks that have just started on an executor. */
export type NewTasks = {
  /** Whether a task has just started there. */
  hasNewTask: boolean;
  /** Whether a task that may have crashed executors has just started there. */
  hasSuspectTask: boolean;
};

/** Looks for tasks that have just started on an executor. */
export function findNewTasks({ runs }: ExecutorState): NewTasks {
  const found: NewTasks = { hasNewTask: false, hasSuspectTask: false };
  for (const run of runs) {
    if (hasOutlasted(run, ISOLATION_MS)) continue;
    found.hasNewTask = true;
    found.hasSuspectTask ||= isSuspect(run.task);
  }
  return found;
}

function hasOutlasted(
  { confirmedClockMs, listedClockMs }: Run,
  ms: number,
): boolean {
  return confirmedClockMs !== undefined &&
    listedClockMs - confirmedClockMs >= ms;
}
