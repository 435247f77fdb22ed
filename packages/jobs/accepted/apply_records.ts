/**
 * Reads the records of the jobs topic and applies them to an owner's state.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import { finishJob } from "../ended/finish_job.ts";
import { applyProgress } from "../ended/progress.ts";
import { forwardCancellation, forwardJob } from "../forwarded/forward_jobs.ts";
import type { RecordedJob } from "../forwarded/forwarded_job.ts";
import { targetOf } from "../forwarded/forwarded_jobs.ts";
import {
  createJob,
  findTask,
  hasEnded,
  type Job,
  parseTaskName,
  type Task,
} from "../job.ts";
import {
  closeDoneGroups,
  hasMovingWindow,
  isGroupOver,
  openDueGroups,
  openGroup,
  type OpeningTimes,
  totalOccurrences,
} from "../occurrences.ts";
import {
  mayAccess,
  replacesOrganisation,
} from "../organisations/keys/job_access.ts";
import { decodeAccepted, decodeCancellation } from "../owned/load_partition.ts";
import { sharesOf } from "../organisations/shares/shares.ts";
import { type OwnerState, policyOf } from "../owned/owner_state.ts";
import { objectiveMs } from "../placed/due_time.ts";
import { prepareEarly } from "../placed/prepare_job.ts";
import type { StoredRecord } from "../ports.ts";
import type { AcceptedJob, Cancellation, Step } from "../submission.ts";
import { cancelKey, JOBS_TOPIC, parseJobKey } from "../topics.ts";

/** Longest wait for the store to take the record of a job again. */
const RESTORE_TIMEOUT_MS = 1_500;

/** Pause before this is tried again. */
const RESTORE_RETRY_MS = 300;

/**
 * Adds an accepted job to the owner's state, with the progress that an earlier
 * owner has stored; a job that is already known is returned unchanged.
 */
export function addJob(
  owner: OwnerState,
  { id, accepted, offset, progress }: RecordedJob,
): Job {
  const known = owner.jobs.get(id);
  if (known !== undefined) return known;
  const isInherited = progress !== undefined;
  const policy = policyOf(owner, accepted);
  const job = createJob(id, {
    accepted: { ...accepted, policy },
    offset,
    isInherited,
    objectiveMs: objectiveMs(accepted, policy),
    isBeyondWeight: isBeyondWeight(owner, accepted),
  });
  owner.jobs.set(id, job);
  if (progress !== undefined) {
    const times = openingTimes(owner, job);
    applyProgress(job, { progress, failed: owner.failedRuns, times });
  }
  updateOccurrences(owner, job);
  if (!isInherited) {
    const { partition } = owner.options;
    owner.options.events.log("jobTaken", { job: id, partition, offset });
  }
  if (takeCancellation(owner, job)) endCancelled(owner, job);
  else if (!isInherited) prepareEarly(owner, job);
  owner.schedulePlacement();
  return job;
}

/**
 * Returns whether a new job is beyond the weight of its organisation. A new
 * owner calls it for all jobs that it loads, in the order of their records, so
 * that it continues as the previous one did.
 */
function isBeyondWeight(
  owner: OwnerState,
  { organisation, acceptedAtMs }: AcceptedJob,
): boolean {
  const shares = sharesOf(owner.options.view.configuration());
  if (shares === undefined || organisation === undefined) return false;
  const weight = shares.weightOf(organisation);
  const arrival = { weight, acceptedAtMs, nowMs: Date.now() };
  const isWithin = owner.weightBuckets.take(organisation, arrival);
  if (owner.isLoaded) {
    owner.arrivals.count(organisation, { weight, isBeyondWeight: !isWithin });
  }
  return !isWithin;
}

/**
 * Creates the tasks of a job that are due and drops those that are over.
 *
 * @returns whether further tasks are due that have to wait for a later call
 */
export function updateOccurrences(owner: OwnerState, job: Job): boolean {
  if (hasEnded(job) || !hasMovingWindow(job)) return false;
  const hasMore = openDueGroups(job, {
    unixMs: Date.now(),
    ...openingTimes(owner, job),
  });
  for (const group of closeDoneGroups(job)) {
    for (const { name } of group.tasks) owner.failedRuns.delete(name);
    owner.ticketCache?.close(group);
  }
  return hasMore;
}

function openingTimes(owner: OwnerState, job: Job): OpeningTimes {
  return {
    monotonicMs: performance.now(),
    blockedUntilMs: job.isInherited ? owner.blockedUntilMs : 0,
  };
}

/**
 * Finds the task that an earlier owner has run, also if its occurrence is not
 * due yet: the clock of that owner may have been ahead. Returns undefined if
 * its job is not known or if the task is over.
 */
export function findStartedTask(
  owner: OwnerState,
  name: string,
): Task | undefined {
  const parts = parseTaskName(name);
  const job = parts && owner.jobs.get(parts.id);
  if (job === undefined) return undefined;
  const { occurrence, stepIndex } = parts!;
  const isOpenable = !hasEnded(job) && occurrence < totalOccurrences(job) &&
    stepIndex < job.nextOccurrences.length && !isGroupOver(job, parts!);
  if (isOpenable) openGroup(job, parts!, openingTimes(owner, job));
  return findTask(owner.jobs, name);
}

/** Returns the step of a task by its name, if the job is known. */
export function findStep(owner: OwnerState, name: string): Step | undefined {
  const parts = parseTaskName(name);
  const job = parts && owner.jobs.get(parts.id);
  return job?.accepted.submission.steps[parts!.stepIndex];
}

/**
 * Cancels a job if it is accessible to the caller of the cancellation. If it is
 * not known yet, it is cancelled as soon as it is: its submission may be stored
 * after the cancellation.
 */
export function applyCancellation(
  owner: OwnerState,
  id: string,
  cancellation: Cancellation,
): void {
  const job = owner.jobs.get(id);
  const forwarded = owner.forwardedJobs.get(id);
  const { caller } = cancellation;
  // The record of a caller has a key of its own, which is removed by itself.
  if (job === undefined || caller !== undefined) {
    keepCancellation(owner, id, cancellation);
  }
  if (forwarded !== undefined) {
    forwardCancellation(owner, forwarded, cancellation);
  }
  if (job === undefined) return;
  if (mayAccess(job.accepted, caller ?? {})) endCancelled(owner, job);
}

/** Keeps a cancellation in place of an earlier one by the same caller. */
function keepCancellation(
  owner: OwnerState,
  id: string,
  cancellation: Cancellation,
): void {
  const key = cancelKey(id, cancellation.caller);
  const others = (owner.cancellations.get(id) ?? [])
    .filter(({ caller }) => cancelKey(id, caller) !== key);
  owner.cancellations.set(id, [...others, cancellation]);
}

/**
 * Returns whether a new job was cancelled before it was known. The record of a
 * cancellation without a caller is removed with the job.
 */
function takeCancellation(owner: OwnerState, { id, accepted }: Job): boolean {
  const kept = owner.cancellations.get(id);
  if (kept === undefined) return false;
  const withCaller = kept.filter(({ caller }) => caller !== undefined);
  if (withCaller.length > 0) owner.cancellations.set(id, withCaller);
  else owner.cancellations.delete(id);
  return kept.some(({ caller }) => mayAccess(accepted, caller ?? {}));
}

function endCancelled(owner: OwnerState, job: Job): void {
  if (hasEnded(job)) return;
  job.isCancelled = true;
  finishJob(owner, job, "cancelled by its caller");
}

function applyRecord(owner: OwnerState, record: StoredRecord): void {
  if (record.value === undefined) return;
  const { id, isCancellation } = parseJobKey(record.key);
  const { partition, events } = owner.options;
  const { offset } = record;
  if (isCancellation) {
    const isKnown = owner.jobs.has(id);
    events.log("cancellationRead", { job: id, partition, offset, isKnown });
    return applyCancellation(owner, id, decodeCancellation(record.value));
  }
  const accepted = decodeAccepted(record.value);
  if (accepted === undefined) {
    events.log("recordUnreadable", { partition, key: record.key });
    return;
  }
  const first = firstRecordOf(owner, id);
  if (first === undefined) {
    addRecordedJob(owner, { id, accepted, offset, progress: undefined });
    return;
  }
  if (first.service !== accepted.service) {
    const { service } = accepted;
    events.log("jobRepeated", { job: id, partition, offset, service });
  }
  if (replacesOrganisation(first, accepted)) void restoreAcceptance(owner, id);
}

/**
 * Adds a job of a record, to be run by this owner or to be handed on.
 *
 * @returns the job if this owner runs it
 */
export function addRecordedJob(
  owner: OwnerState,
  job: RecordedJob,
): Job | undefined {
  const { id, accepted: { service }, progress } = job;
  // Earlier versions handed nothing on, and what has ended runs nowhere.
  const isHere = (progress !== undefined && progress.service === undefined) ||
    targetOf(owner, { id, service }) === owner.options.partition;
  if (isHere) return addJob(owner, job);
  forwardJob(owner, job);
  return undefined;
}

/** Returns what is known of the first record of a job. */
function firstRecordOf(
  owner: OwnerState,
  id: string,
): Omit<AcceptedJob, "submission" | "acceptedAtMs"> | undefined {
  return owner.jobs.get(id)?.accepted ?? owner.forwardedJobs.get(id);
}

/** Returns the first record of a job as long as the next owner may need it. */
function neededRecordOf(
  owner: OwnerState,
  id: string,
): AcceptedJob | undefined {
  return owner.jobs.get(id)?.accepted ?? owner.forwardedJobs.get(id)?.accepted;
}

/**
 * Stores the record of a job again after a call of another organisation has
 * replaced it, so that the next owner finds the first one.
 */
async function restoreAcceptance(owner: OwnerState, id: string): Promise<void> {
  const { store, partition, events } = owner.options;
  events.log("jobIdInUse", { job: id, partition });
  const accepted = neededRecordOf(owner, id);
  if (accepted === undefined) return;
  const record = { key: id, value: JSON.stringify(accepted) };
  while (!owner.isClosed && neededRecordOf(owner, id) === accepted) {
    const outcome = await store.append({ topic: JOBS_TOPIC, partition }, {
      records: [record],
      timeoutMs: RESTORE_TIMEOUT_MS,
    });
    if (outcome.type === "stored" || outcome.type === "rejected") return;
    await sleep(RESTORE_RETRY_MS);
  }
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
  const sentAtMs = performance.now();
  const outcome = await store.read(source, { from: owner.nextOffset, waitMs });
  if (owner.isClosed) return true;
  if (outcome.type === "failed") {
    logUnread(owner, outcome.reason);
    return false;
  }
  if (outcome.type === "gap") return await readNewestRecords(owner);
  logReadAgain(owner);
  for (const record of outcome.records) applyRecord(owner, record);
  owner.nextOffset = Math.max(owner.nextOffset, outcome.nextOffset);
  // The store waited for a record that did not come.
  const hasWaited = outcome.records.length === 0 &&
    performance.now() >= sentAtMs + waitMs;
  noteKnown(owner, hasWaited ? sentAtMs + waitMs : sentAtMs);
  return true;
}

async function readNewestRecords(owner: OwnerState): Promise<boolean> {
  const { store, partition } = owner.options;
  const sentAtMs = performance.now();
  const knownBefore = new Set([
    ...owner.jobs.keys(),
    ...owner.forwardedJobs.keys(),
  ]);
  const newest = await store.readNewest({ topic: JOBS_TOPIC, partition });
  if (owner.isClosed) return true;
  if (newest.type === "failed") {
    logUnread(owner, newest.reason);
    return false;
  }
  logReadAgain(owner);
  newest.records.sort((left, right) => left.offset - right.offset);
  for (const record of newest.records) {
    const { id } = parseJobKey(record.key);
    // The pages may be older than the removal of an expired job.
    const isRemoved = knownBefore.has(id) &&
      firstRecordOf(owner, id) === undefined;
    if (!isRemoved) applyRecord(owner, record);
  }
  owner.nextOffset = newest.nextOffset;
  noteKnown(owner, sentAtMs);
  return true;
}

function noteKnown(owner: OwnerState, monotonicMs: number): void {
  owner.jobsKnownAtMs = Math.max(owner.jobsKnownAtMs, monotonicMs);
}

/** Logs the first failed read since the last one that was answered. */
function logUnread(owner: OwnerState, reason: string): void {
  if (owner.unreadSinceMs !== undefined) return;
  owner.unreadSinceMs = performance.now();
  const { nextOffset: offset, options: { partition, events } } = owner;
  events.log("jobsUnread", { partition, offset, reason });
}

/** Logs the first answer after failed reads. */
function logReadAgain(owner: OwnerState): void {
  if (owner.unreadSinceMs === undefined) return;
  const silentMs = Math.round(performance.now() - owner.unreadSinceMs);
  owner.unreadSinceMs = undefined;
  const { nextOffset: offset, options: { partition, events } } = owner;
  events.log("jobsReadAgain", { partition, offset, silentMs });
}
