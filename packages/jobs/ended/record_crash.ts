/**
 * Counts crashes of executors for the tasks that had just started there, and
 * gives up tasks that crash the executors on which they start.
 *
 * @module
 */

import { closeStart, hasEnded, type Task } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { startBackoff } from "../placed/crash_backoff.ts";
import { crashesExecutors, isSuspect } from "../placed/probation.ts";
import type { SuspectedCrash } from "./crash.ts";
import { finishJob, saveProgress } from "./finish_job.ts";

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
  // Lasting tasks are restarted however they end.
  if (crashesExecutors(task) && !task.group.step.isLasting) {
    job.hasFailed = true;
    finishJob(owner, job, `${length} executors crashed under ${task.name}`);
  } else saveProgress(owner, job);
}
