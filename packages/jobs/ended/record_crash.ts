/**
 * Counts crashes of executors for the tasks that had just started there, and
 * gives up tasks that crash the executors on which they start.
 *
 * @module
 */

import { closeStart, hasEnded, type Task } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { isSuspect } from "../placed/probation.ts";
import type { SuspectedCrash } from "./crash.ts";
import { finishJob, saveProgress } from "./finish_job.ts";

/** Crashes for which a task is given up if the last start was confirmed. */
const MAX_CONFIRMED_CRASHES = 3;

/** Crashes for which a task is given up in any case. */
const MAX_CRASHES = 4;

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
  task.crashes.push({ run, isConfirmed });
  const { length } = task.crashes;
  owner.options.events.log("taskSuspected", {
    task: task.name,
    run,
    executor,
    isConfirmed,
    startedLast,
    crashes: length,
  });
  const mustGiveUp = length >= MAX_CRASHES ||
    (length >= MAX_CONFIRMED_CRASHES && isConfirmed);
  if (mustGiveUp) {
    job.hasFailed = true;
    finishJob(owner, job, `${length} executors crashed under ${task.name}`);
  } else saveProgress(owner, job);
}
