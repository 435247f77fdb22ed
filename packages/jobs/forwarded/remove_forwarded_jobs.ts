import { sleep } from "../_sleep.ts";
import { removeRecords } from "../ended/remove_expired_jobs.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { cancelKey } from "../topics.ts";
import { type ForwardedJob, isHandedOn } from "./forwarded_job.ts";
import { targetOf } from "./forwarded_jobs.ts";

/** Interval between searches for jobs that their partition has removed. */
const INTERVAL_MS = 1_000;

/** Most jobs that one search asks for, at most one search at a time. */
const MAX_QUERIES = 100;

/**
 * Starts removing forwarded jobs that the partition of their service has
 * removed, until the owner closes. Until then, repeats and cancellations of the
 * job may come here.
 */
export function startRemovingForwardedJobs(owner: OwnerState): void {
  void keepRemoving(owner);
}

async function keepRemoving(owner: OwnerState): Promise<void> {
  while (!owner.isClosed) {
    if (owner.isLoaded && !owner.isReleasing) await removeGone(owner);
    await sleep(INTERVAL_MS);
  }
}

async function removeGone(owner: OwnerState): Promise<void> {
  const seenBeforeMs = performance.now() - owner.options.endedJobRetentionMs;
  const due = [...owner.forwardedJobs.values()]
    .filter((job) => isHandedOn(job) && job.seenAtMs < seenBeforeMs)
    .slice(0, MAX_QUERIES);
  const isGone = await Promise.all(due.map((job) => isRemoved(owner, job)));
  const gone = due.filter((_, index) => isGone[index]);
  if (gone.length === 0 || owner.isClosed) return;
  const { partition, events } = owner.options;
  const keys = gone.flatMap(({ id }) => [id, cancelKey(id)]);
  // If the outcome is not certain, the next search removes the jobs again.
  if (!await removeRecords(owner, keys)) return;
  for (const { id } of gone) {
    owner.forwardedJobs.delete(id);
    owner.progress.put(id, () => undefined);
  }
  events.log("jobsForgotten", { partition, jobs: gone.length });
}

/** Asks the owner of a job's partition whether it has removed the job. */
async function isRemoved(
  owner: OwnerState,
  job: ForwardedJob,
): Promise<boolean> {
  const target = targetOf(owner, job);
  if (target === undefined) return false;
  const result = await owner.options.queryJob(target, job.id);
  if (result.type === "known") job.seenAtMs = performance.now();
  return result.type === "missing";
}
