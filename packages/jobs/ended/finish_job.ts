/**
 * Stores the progress of jobs and ends them.
 *
 * @module
 */

import { hasEnded, type Job } from "../job.ts";
import { isComplete } from "../occurrences.ts";
import { type OwnerState, stopRun } from "../owned/owner_state.ts";
import { encodeProgress, outcomeOf } from "./progress.ts";

/** Stores the progress of a job with the next batch of records. */
export function saveProgress(
  owner: OwnerState,
  job: Job,
  options?: { isUrgent?: boolean },
): void {
  owner.progress.put(
    job.id,
    () => {
      job.isStartStored = job.hasStarted;
      return encodeProgress(job, owner.failedRuns);
    },
    options,
  );
}

/** Ends a job: stores its outcome and stops its remaining runs. */
export function finishJob(owner: OwnerState, job: Job, reason: string): void {
  job.endedAtMs = Date.now();
  owner.options.events.log("jobFinished", {
    job: job.id,
    state: outcomeOf(job),
    reason,
  });
  saveProgress(owner, job);
  owner.progress.whenStored(() => job.isOutcomeStored = true);
  for (const group of job.groups) {
    owner.ticketCache?.close(group);
    for (const task of group.tasks) {
      for (const run of task.runs) stopRun(owner, run, reason);
    }
  }
  owner.schedulePlacement();
}

/** Ends a job if all tasks of all its occurrences are done. */
export function finishIfComplete(owner: OwnerState, job: Job): void {
  if (hasEnded(job) || !isComplete(job)) return;
  finishJob(owner, job, "all tasks are done");
}
