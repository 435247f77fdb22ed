/**
 * Counts crashes of executors for the tasks that had just started there, and
 * gives up tasks that crash the executors on which they start.
 *
 * @module
 */

import { closeStart, hasEnded, type Task } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { startBackoff } from "../placed/crash_backoff.ts";
import { isSuspect, MIN_SUSPECT_CRASHES } from "../placed/probation.ts";
import type { SuspectedCrash } from "./crash.ts";
import { finishJob, saveProgress } from "./finish_job.ts";

/** Crashes with evidence that the run had begun, to give a task up. */
const MIN_CONFIRMED_CRASHES = 2;

/**
 * Counts a crash for a task, unless it counts already or the task is done. A
 * task that is suspect already was started alone, so that only crashes count
 * that no later start can have caused.
 */
export function recordCrash(
  owner: OwnerState,
  { task, executor, crash }: {
    task: Task;
    executor: string;
    crash: SuspectedCrash;
  },
): void {
  const { job } = task.group;
  const { run, isConfirmed, startedLast } = crash;
  if (task.isDone || hasEnded(job)) return;
  closeStart(task, run);
  if (task.crashes.some((other) => other.run === run)) return;
  if (isSuspect(task) && !startedLast) return;
  task.crashes.push({ run, isConfirmed, countedAtMs: Date.now() });
  const { length } = task.crashes;
  const waitMs = startBackoff(task);
  owner.options.events.log("taskSuspected", {
    task: task.name,
    run,
    executor,
    isConfirmed,
    startedLast,
    crashes: length,
    waitMs,
  });
  if (mustGiveUp(task)) {
    job.hasFailed = true;
    finishJob(owner, job, `${length} executors crashed under ${task.name}`);
  } else saveProgress(owner, job);
}

/**
 * Returns whether a task ends its job. Crashes without evidence that a run had
 * begun only delay it, as do crashes before it was started alone, which may be
 * due to another task.
 */
function mustGiveUp({ crashes }: Task): boolean {
  const confirmed = crashes.filter(({ isConfirmed }) => isConfirmed);
  const alone = crashes.slice(MIN_SUSPECT_CRASHES);
  return confirmed.length >= MIN_CONFIRMED_CRASHES &&
    alone.some(({ isConfirmed }) => isConfirmed);
}
