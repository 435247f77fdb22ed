/**
 * Reads the records of the jobs topic and applies them to an owner's state.
 *
 * @module
 */

import { finishJob } from "../ended/finish_job.ts";
import {
  createDueOccurrences,
  createJob,
  findTask,
  hasEnded,
  type Job,
  parseTaskName,
  scheduledTimeOf,
  type Task,
} from "../job.ts";
import { decodeAccepted } from "../owned/load_partition.ts";
import { type OwnerState, queueOf } from "../owned/owner_state.ts";
import { objectiveMs } from "../placed/due_time.ts";
import { prepareEarly } from "../placed/prepare_job.ts";
import type { StoredRecord } from "../ports.ts";
import type { AcceptedJob } from "../submission.ts";
import { JOBS_TOPIC, parseJobKey } from "../topics.ts";

/**
 * Adds an accepted job to the owner's state; a job that is already known is
 * returned unchanged.
 */
export function addJob(
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
  const job = createJob(id, {
    accepted,
    offset,
    isInherited,
    objectiveMs: objectiveMs(accepted, queueOf(owner, { accepted })),
  });
  owner.jobs.set(id, job);
  createDueTasks(owner, job);
  if (!isInherited) {
    const { partition } = owner.options;
    owner.options.events.log("jobTaken", { job: id, partition, offset });
    prepareEarly(owner, job);
  }
  owner.schedulePlacement();
  return job;
}

/** Creates the tasks for all occurrences of a job that are due. */
export function createDueTasks(owner: OwnerState, job: Job): void {
  createDueOccurrences(job, {
    unixMs: Date.now(),
    monotonicMs: performance.now(),
    blockedUntilMs: job.isInherited ? owner.blockedUntilMs : 0,
  });
}

/**
 * Creates the tasks of a job up to an occurrence, also if that is not due yet:
 * an earlier owner, whose clock was ahead, may have run them.
 */
export function createTasksUpTo(
  owner: OwnerState,
  job: Job,
  occurrence: number,
): void {
  createDueOccurrences(job, {
    unixMs: Math.max(Date.now(), scheduledTimeOf(job, occurrence)),
    monotonicMs: performance.now(),
    blockedUntilMs: job.isInherited ? owner.blockedUntilMs : 0,
  });
}

/**
 * Finds the task that an earlier owner has run; returns undefined if its job is
 * not known.
 */
export function findStartedTask(
  owner: OwnerState,
  name: string,
): Task | undefined {
  const parts = parseTaskName(name);
  const job = parts && owner.jobs.get(parts.id);
  if (job === undefined) return undefined;
  if (job.endedAtMs === undefined) {
    createTasksUpTo(owner, job, parts!.occurrence);
  }
  return findTask(owner.jobs, name);
}

/** Cancels a job if it is known and has not ended. */
export function applyCancellation(owner: OwnerState, id: string): void {
  const job = owner.jobs.get(id);
  if (job === undefined || hasEnded(job)) return;
  job.isCancelled = true;
  finishJob(owner, job, "cancelled by its caller");
}

function applyRecord(owner: OwnerState, record: StoredRecord): void {
  if (record.value === undefined) return;
  const { id, isCancellation } = parseJobKey(record.key);
  if (isCancellation) return applyCancellation(owner, id);
  const accepted = decodeAccepted(record.value);
  if (accepted === undefined) {
    const { partition } = owner.options;
    owner.options.events.log("recordUnreadable", {
      partition,
      key: record.key,
    });
    return;
  }
  addJob(owner, id, { accepted, offset: record.offset, isInherited: false });
}

/**
 * Reads the records after the last one that was read and applies them. If the
 * store no longer has the next record, reads the newest record of each key
 * instead.
 *
 * @returns whether the store answered
 */
export async function readNewRecords(
  owner: OwnerState,
  waitMs: number,
): Promise<boolean> {
  const { store, partition } = owner.options;
  const source = { topic: JOBS_TOPIC, partition };
  const outcome = await store.read(source, { from: owner.nextOffset, waitMs });
  if (owner.isClosed) return true;
  if (outcome.type === "failed") return false;
  if (outcome.type === "read") {
    for (const record of outcome.records) applyRecord(owner, record);
    owner.nextOffset = Math.max(owner.nextOffset, outcome.nextOffset);
    return true;
  }
  const newest = await store.readNewest(source);
  if (newest.type === "failed") return false;
  newest.records.sort((left, right) => left.offset - right.offset);
  for (const record of newest.records) applyRecord(owner, record);
  owner.nextOffset = newest.nextOffset;
  return true;
}
