/**
 * Preparation of jobs for their first start.
 *
 * @module
 */

import { saveProgress } from "../ended/finish_job.ts";
import { hasEnded, type Job } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";

/**
 * Jobs that are prepared before there is capacity for them, so that their owner
 * can start them while the store does not answer.
 */
const MAX_PREPARED_JOBS = 40;

/** Time after which capacity is not kept for a job that is being prepared. */
const MAX_PREPARATION_MS = 100;

/**
 * Stores the first progress of a job, without which none of its tasks starts:
 * the next owner takes a job without progress for one that never ran. It starts
 * such a job at once, but waits for all executors that an earlier owner has
 * used before it starts others. So the jobs that wait in a long queue are
 * prepared only once there is capacity for them.
 */
export function prepareJob(owner: OwnerState, job: Job): void {
  if (job.preparedAtMs !== undefined) return;
  job.preparedAtMs = performance.now();
  saveProgress(owner, job, { isUrgent: true });
  owner.progress.whenStored(() => {
    job.hasStoredProgress = true;
    owner.schedulePlacement();
  });
}

/** Prepares a job early, unless enough others are prepared and wait. */
export function prepareEarly(owner: OwnerState, job: Job): void {
  let waiting = 0;
  for (const other of owner.jobs.values()) {
    const isPrepared = other.preparedAtMs !== undefined;
    if (isPrepared && !other.isPlaced && !hasEnded(other)) waiting++;
  }
  if (waiting < MAX_PREPARED_JOBS) prepareJob(owner, job);
}

/**
 * Returns the jobs whose tasks may be placed. While the store does not answer,
 * these are only the prepared ones, so that the others keep no capacity.
 */
export function placeableJobs(owner: OwnerState): Job[] {
  const jobs = [...owner.jobs.values()].filter((job) => !hasEnded(job));
  const nowMs = performance.now();
  const isDelayed = jobs.some(({ hasStoredProgress, preparedAtMs }) =>
    !hasStoredProgress && preparedAtMs !== undefined &&
    nowMs - preparedAtMs > MAX_PREPARATION_MS
  );
  return isDelayed
    ? jobs.filter(({ hasStoredProgress }) => hasStoredProgress)
    : jobs;
}
