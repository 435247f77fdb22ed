import { finishJob, saveJob } from "../ended/finish_job.ts";
import { createDueOccurrences, createJob, hasEnded, type Job } from "../job.ts";
import { decodeAccepted } from "../owned/load_partition.ts";
import { type OwnerState, queueOf } from "../owned/owner_state.ts";
import { dueTime } from "../placed/due_time.ts";
import type { StoredRecord } from "../ports.ts";
import type { AcceptedJob } from "../submission.ts";
import { JOBS_TOPIC, parseJobKey } from "../topics.ts";

/**
 * Takes an accepted job into the book, once for each id. A new job starts only
 * after its first progress is stored, so that the next owner knows that a job
 * without progress was never started.
 */
export function takeJob(
  owner: OwnerState,
  id: string,
  { accepted, offset, isInherited }: {
    accepted: AcceptedJob;
    offset: number;
    isInherited: boolean;
  },
): Job {
  const known = owner.jobs.get(id);
  if (known !== undefined) return known;
  const job = createJob(id, { accepted, offset, isInherited, dueAtMs: 0 });
  job.dueAtMs = dueTime(accepted, queueOf(owner, job));
  owner.jobs.set(id, job);
  beginDue(owner, job);
  if (!isInherited) {
    const { partition } = owner.options;
    owner.options.events.log("jobTaken", { job: id, partition, offset });
    saveJob(owner, job, { isUrgent: true });
    owner.progress.whenStored(() => {
      job.hasStoredProgress = true;
      if (!hasEnded(job)) beginDue(owner, job);
      owner.schedulePlacement();
    });
  }
  owner.schedulePlacement();
  return job;
}

/** Creates the tasks of the occurrences of a job that are due. */
export function beginDue(owner: OwnerState, job: Job): void {
  if (!job.hasStoredProgress) return;
  createDueOccurrences(job, {
    unixMs: Date.now(),
    monotonicMs: performance.now(),
    blockedUntilMs: job.isInherited ? owner.blockedUntilMs : 0,
  });
}

/** Cancels a job that has not ended. */
export function takeCancellation(owner: OwnerState, id: string): void {
  const job = owner.jobs.get(id);
  if (job === undefined || hasEnded(job)) return;
  job.isCancelled = true;
  finishJob(owner, job, "cancelled by its caller");
}

function takeRecord(owner: OwnerState, record: StoredRecord): void {
  if (record.value === undefined) return;
  const { id, isCancellation } = parseJobKey(record.key);
  if (isCancellation) return takeCancellation(owner, id);
  const accepted = decodeAccepted(record.value);
  if (accepted === undefined) {
    const { partition } = owner.options;
    owner.options.events.log("recordUnreadable", {
      partition,
      key: record.key,
    });
    return;
  }
  takeJob(owner, id, { accepted, offset: record.offset, isInherited: false });
}

/**
 * Reads the records that follow the last one.
 *
 * @returns whether the store answered
 */
export async function readRecords(
  owner: OwnerState,
  waitMs: number,
): Promise<boolean> {
  const { store, partition } = owner.options;
  const place = { topic: JOBS_TOPIC, partition };
  const outcome = await store.read(place, { from: owner.nextOffset, waitMs });
  if (owner.isClosed) return true;
  if (outcome.type === "failed") return false;
  if (outcome.type === "read") {
    for (const record of outcome.records) takeRecord(owner, record);
    owner.nextOffset = Math.max(owner.nextOffset, outcome.nextOffset);
    return true;
  }
  const newest = await store.readNewest(place);
  if (newest.type === "failed") return false;
  newest.records.sort((left, right) => left.offset - right.offset);
  for (const record of newest.records) takeRecord(owner, record);
  owner.nextOffset = newest.nextOffset;
  return true;
}
