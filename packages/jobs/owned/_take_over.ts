/**
 * Takeover of a partition by its new owner.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import {
  addRecordedJob,
  applyCancellation,
  readNewRecords,
} from "../accepted/apply_records.ts";
import { finishIfComplete } from "../ended/finish_job.ts";
import type { RecordedJob } from "../forwarded/forwarded_job.ts";
import type { Job } from "../job.ts";
import { startBackoff } from "../placed/crash_backoff.ts";
import {
  hasOneProcess,
  restoreUsedExecutors,
} from "../placed/used_executors.ts";
import {
  belongsToPartition,
  refreshExecutors,
  unblockTasks,
} from "../run/follow_executors.ts";
import { suspectStart } from "../run/lost_executors.ts";
import { EXECUTOR_STARTS_KEY, HANDOVER_KEY } from "../topics.ts";
import { applyHandover } from "./handover.ts";
import { decodeHandover } from "./handover_record.ts";
import { type LoadedPartition, loadPartition } from "./load_partition.ts";
import {
  ADMISSION_GRACE_MS,
  isOwnershipConfirmed,
  longestLeaseMs,
  OWNERSHIP_GRACE_MS,
  type OwnerState,
} from "./owner_state.ts";

/** Pause before the list of executors is looked at again. */
const LIST_PAUSE_MS = 100;

/**
 * Longest time for which a read waits for the next job record. If its answer is
 * lost, new jobs wait for it.
 */
const READ_WAIT_MS = 1_000;

/** Pause after a failed read. */
const RETRY_MS = 300;

/**
 * Loads the state of a partition, applies it and reads new jobs from then on,
 * until the owner closes.
 */
export async function takeOver(owner: OwnerState): Promise<void> {
  const { partition, epoch, store, events } = owner.options;
  while (!owner.isClosed) {
    // A state that waits for the list may be outdated once that is there.
    while (!owner.isClosed && !owner.options.view.hasExecutorList()) {
      await sleep(LIST_PAUSE_MS);
    }
    const startedAtMs = performance.now();
    const outcome = await loadPartition(store, { partition, epoch });
    const tookMs = Math.round(performance.now() - startedAtMs);
    if (owner.isClosed) return;
    if (outcome.type === "fenced") return owner.loseOwnership("store");
    const isPlaceKnown = outcome.type !== "loaded" ||
      knowsServices(owner, outcome.state);
    if (outcome.type === "loaded" && isPlaceKnown) {
      owner.jobsKnownAtMs = startedAtMs;
      applyState(owner, outcome.state);
      await followJobs(owner);
      return;
    }
    const reason = outcome.type === "failed"
      ? outcome.reason
      : "the layout lacks a service of its jobs";
    events.log("loadDelayed", { partition, reason, tookMs });
    await sleep(RETRY_MS);
  }
}

/**
 * Returns whether the partitions of all services are known that earlier owners
 * have decided on, and asks for a newer layout if they are not.
 */
function knowsServices(owner: OwnerState, state: LoadedPartition): boolean {
  const { view } = owner.options;
  const isKnown = [...state.progress.values()].every(({ service }) =>
    service === undefined || view.layout().has(service)
  );
  if (!isKnown) view.requestLayout();
  return isKnown;
}

function applyState(owner: OwnerState, state: LoadedPartition): void {
  const { partition, epoch, events } = owner.options;
  owner.nextOffset = state.nextOffset;
  owner.progress.restorePieces(state.pieceCounts);
  const { usedExecutors: ids, otherDocuments } = state;
  const starts = otherDocuments.get(EXECUTOR_STARTS_KEY);
  owner.usedExecutors = restoreUsedExecutors(ids, starts);
  owner.inheritedExecutors = restoreUsedExecutors(ids, starts);
  awaitEarlierRuns(owner);
  for (const [id, cancellations] of state.cancellations) {
    for (const cancellation of cancellations) {
      applyCancellation(owner, id, cancellation);
    }
  }
  for (const { id, accepted, offset } of state.jobs) {
    const progress = state.progress.get(id);
    addLoadedJob(owner, { id, accepted, offset, progress });
  }
  if (state.unreadableCount === 0) deleteOrphanedProgress(owner, state);

  const handover = decodeHandover(otherDocuments.get(HANDOVER_KEY));
  if (handover !== undefined) applyHandover(owner, handover);
  owner.isLoaded = true;
  owner.forwardSoon();
  events.log("partitionLoaded", {
    partition,
    epoch,
    jobs: state.jobs.length,
    cancelled: state.cancellations.size,
    nextOffset: state.nextOffset,
    unreadable: state.unreadableCount,
    executors: owner.unconfirmedExecutors.size,
    hasHandover: handover !== undefined,
    tookMs: Math.round(performance.now() - owner.takenOverAtMs),
  });
  refreshExecutors(owner);
  unblockTasks(owner);
}

/**
 * Adds a job for the service that an earlier owner has decided on. The newest
 * record of the job may name another one: it may be of a late append, or of a
 * member whose configuration was out of date.
 */
function addLoadedJob(owner: OwnerState, recorded: RecordedJob): void {
  const { accepted, progress } = recorded;
  const service = progress?.service ?? accepted.service;
  const decided = { ...recorded, accepted: { ...accepted, service } };
  const job = addRecordedJob(owner, decided);
  if (job === undefined) return;
  restoreSuspicions(owner, job);
  // The earlier owner ended after it had stored the last end of a task.
  finishIfComplete(owner, job);
}

/**
 * Notes until when runs of earlier owners may go on at executors that do not
 * answer: as long as the longest lease that such an owner can have caused.
 */
function awaitEarlierRuns(owner: OwnerState): void {
  const { view, leaseMs, maxLeaseMs } = owner.options;
  // The partition was assigned to this owner by then, so the store confirmed no
  // earlier owner later than that.
  const lastStartMs = owner.takenOverAtMs + OWNERSHIP_GRACE_MS;
  const reports = view.executors();
  for (const [id, used] of owner.usedExecutors) {
    const longestMs = hasOneProcess(used, reports.get(id))
      ? leaseMs
      : maxLeaseMs;
    const endsMs = lastStartMs + longestLeaseMs(longestMs);
    owner.unconfirmedExecutors.set(id, endsMs);
  }
  for (const report of reports.values()) {
    if (owner.usedExecutors.has(report.id)) continue;
    if (!belongsToPartition(owner, report)) continue;
    const endsMs = lastStartMs + longestLeaseMs(leaseMs);
    owner.unconfirmedExecutors.set(report.id, endsMs);
  }
  owner.blockedUntilMs = Math.max(0, ...owner.unconfirmedExecutors.values());
}

/** Restores what is known of tasks that may have crashed their executors. */
function restoreSuspicions(owner: OwnerState, { groups }: Job): void {
  for (const task of groups.flatMap(({ tasks }) => tasks)) {
    startBackoff(task);
    for (const start of task.openStarts) suspectStart(owner, task, start);
  }
}

/**
 * Deletes progress without a job. It remains if an owner stops after it has
 * deleted the record of an expired job and before it has deleted its progress.
 */
function deleteOrphanedProgress(
  owner: OwnerState,
  state: LoadedPartition,
): void {
  for (const id of state.progress.keys()) {
    const isKnown = owner.jobs.has(id) || owner.forwardedJobs.has(id);
    if (!isKnown) owner.progress.put(id, () => undefined);
  }
}

async function followJobs(owner: OwnerState): Promise<void> {
  let waitMs = READ_WAIT_MS;
  while (!owner.isClosed && !owner.isReleasing) {
    const isRead = isOwnershipConfirmed(owner, ADMISSION_GRACE_MS) &&
      await readNewRecords(owner, waitMs);
    waitMs = isRead ? READ_WAIT_MS : 0;
    if (!isRead) await sleep(RETRY_MS);
  }
}
