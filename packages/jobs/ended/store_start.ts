import { hasEnded, type Job } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { saveProgress } from "./finish_job.ts";

/** Time after a start in which the end of a short run mostly stores it, too. */
const DELAY_MS = 1_000;

/**
 * Stores that a job has started, unless an end has stored it by then. Members
 * show it from the store while the owner is silent, and so does the next owner.
 */
export function storeStart(owner: OwnerState, job: Job): void {
  if (!job.hasStarted || job.isStartStored || hasEnded(job)) return;
  const nowMs = performance.now();
  job.startSeenAtMs ??= nowMs;
  if (nowMs - job.startSeenAtMs >= DELAY_MS) saveProgress(owner, job);
}
