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

/** Crashes for which a task is given up if enough starts were confirmed. */
const MAX_CERTAIN_CRASHES = 3;

/** Confirmed starts among these, after which executors certainly crashed. */
const MIN_CONFIRMED_STARTS = 2;

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
  if (mustGiveUp(task)) {
    job.hasFailed = true;
    finishJob(owner, job, `${length} executors crashed under ${task.name}`);
  } else saveProgress(owner, job);
}

function mustGiveUp({ crashes }: Task): boolean {
  const confirmed = crashes.filter(({ isConfirmed }) => isConfirmed);
  const isCertain = confirmed.length >= MIN_CONFIRMED_STARTS;
  return crashes.length >= (isCertain ? MAX_CERTAIN_CRASHES : MAX_CRASHES);
}
