/**
 * Counts crashes of executors for the tasks that had just started there, and
 * gives up tasks that crash the executors on which they start.
 *
 * @module
 */

import { hasEnded, type Task } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import type { Crash } from "./crash.ts";
import { finishJob, saveProgress } from "./finish_job.ts";

/** Crashes for which a task is given up if the last one is attributed to it. */
const MAX_ATTRIBUTED_CRASHES = 3;

/** Crashes for which a task is given up in any case. */
const MAX_CRASHES = 4;

/** Counts a crash for a task, unless it counts already or the task is done. */
export function recordCrash(
  owner: OwnerState,
  { task, executor, crash }: { task: Task; executor: string; crash: Crash },
): void {
  const { job } = task.group;
  if (task.isDone || hasEnded(job)) return;
  if (task.crashes.some(({ run }) => run === crash.run)) return;
  task.crashes.push(crash);
  const { length } = task.crashes;
  owner.options.events.log("taskSuspected", {
    task: task.name,
    run: crash.run,
    executor,
    isAttributed: crash.isAttributed,
    crashes: length,
  });
  const mustGiveUp = length >= MAX_CRASHES ||
    (length >= MAX_ATTRIBUTED_CRASHES && crash.isAttributed);
  if (mustGiveUp) {
    job.hasFailed = true;
    finishJob(owner, job, `${length} executors crashed under ${task.name}`);
  } else saveProgress(owner, job);
}
