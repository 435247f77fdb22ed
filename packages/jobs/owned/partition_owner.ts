import { sleep } from "../_sleep.ts";
import {
  addJob,
  applyCancellation,
  createDueTasks,
  readNewRecords,
} from "../accepted/apply_records.ts";
import { startRemovingExpiredJobs } from "../ended/remove_expired_jobs.ts";
import { applyProgress } from "../ended/progress.ts";
import { createProgressLog } from "../ended/progress_log.ts";
import { type JobsById, stateOf } from "../job.ts";
import {
  type PartitionReport,
  reportPartition,
} from "../machines/partition_report.ts";
import { createTicketCache } from "../placed/ticket_cache.ts";
import { startWaitingTasks } from "../placed/start_tasks.ts";
import {
  belongsToPartition,
  confirmExecutor,
  markExecutorEnded,
  refreshWorkers,
  unblockTasks,
} from "../run/follow_workers.ts";
import { drainWorkers } from "../run/drain_workers.ts";
import { moveStragglers } from "../run/stragglers.ts";
import type { QueryResult } from "../queries/query_result.ts";
import type { JobState } from "../submission.ts";
import { HANDOVER_KEY, PROGRESS_TOPIC } from "../topics.ts";
import type { Worker } from "../worker.ts";
import { applyHandover, decodeHandover, storeHandover } from "./handover.ts";
import {
  type LoadedPartition,
  loadPartition,
  writerName,
} from "./load_partition.ts";
import {
  ADMISSION_GRACE_MS,
  isOwnershipConfirmed,
  longestLeaseMs,
  OWNERSHIP_GRACE_MS,
  type OwnerState,
  type PartitionOwnerOptions,
} from "./owner_state.ts";

/** Period of the owner's regular checks. */
const TICK_MS = 100;

/** Longest wait of a read for the next record. */
const TAIL_WAIT_MS = 5_000;

/** Pause after a read that failed. */
const TAIL_RETRY_MS = 300;

/** Least time between two rounds of placing. */
const PLACE_DELAY_MS = 4;

/** Time for which executors stay reserved without being asked for again. */
const RESERVATION_MS = 3_000;

/** Owner of the jobs and the executors of one partition. */
export type PartitionOwner = {
  partition: number;
  epoch: number;
  jobs: JobsById;
  workers: ReadonlyMap<string, Worker>;
  isLoaded(): boolean;
  /** State of a job; `unavailable` if the store can't be asked for it. */
  getJobState(id: string): Promise<QueryResult<JobState>>;
  /** Accepted jobs of a queue of which nothing has started. */
  countPending(queue: string): number;
  /** Applies a change of the list of executors or of the configuration. */
  refresh(): void;
  /**
   * Reserves executors for moves and upkeep, for a short time, takes note of
   * those that have ended by these, and tells what the others do.
   */
  reserveAndReport(
    reserved: ReadonlySet<string>,
    ended: readonly string[],
  ): PartitionReport;
  /** Stores what is pending, then gives the partition up. */
  release(timeoutMs: number): Promise<void>;
  close(): void;
};

/**
 * Takes a partition over and runs its jobs: fences the earlier owner, loads
 * the state, looks at the executors, and from then on starts, watches and ends
 * the tasks.
 *
 * @example
 * ```ts
 * const owner = createPartitionOwner({ partition: 3, epoch: 7, ...options });
 * ```
 */
export function createPartitionOwner(
  options: PartitionOwnerOptions,
): PartitionOwner {
  const { partition, epoch } = options;
  const owner = createState(options);
  const timer = setInterval(() => tick(owner), TICK_MS);
  const close = () => {
    owner.isClosed = true;
    clearInterval(timer);
    owner.progress.close();
    for (const session of owner.sessions.values()) session.close();
  };
  owner.loseOwnership = (reason) => {
    if (owner.isClosed) return;
    close();
    options.onLost(reason);
  };
  void takeOver(owner);
  startRemovingExpiredJobs(owner);
  return {
    partition,
    epoch,
    jobs: owner.jobs,
    workers: owner.workers,
    isLoaded: () => owner.isLoaded,
    async getJobState(id) {
      const isCurrent = owner.jobs.has(id) || await readNewRecords(owner, 0);
      const job = owner.jobs.get(id);
      if (job !== undefined) return { type: "known", value: stateOf(job) };
      return { type: isCurrent && !owner.isClosed ? "missing" : "unavailable" };
    },
    countPending: (queue) => countPending(owner, queue),
    refresh: () => refreshWorkers(owner),
    reserveAndReport(reserved, ended) {
      for (const id of ended) markExecutorEnded(owner, id);
      reserve(owner, reserved);
      owner.reservedUntilMs = performance.now() + RESERVATION_MS;
      return reportPartition(owner);
    },
    async release(timeoutMs) {
      owner.isReleasing = true;
      storeHandover(owner);
      await owner.progress.drain(timeoutMs);
      close();
    },
    close,
  };
}

function createState(options: PartitionOwnerOptions): OwnerState {
  const { partition, epoch, store, events } = options;
  let placeTimer: NodeJS.Timeout | undefined;
  const owner: OwnerState = {
    options,
    jobs: new Map(),
    workers: new Map(),
    sessions: new Map(),
    failedRuns: new Map(),
    usedExecutors: new Set(),
    unconfirmedExecutors: new Map(),
    inheritedRuns: undefined,
    endedExecutors: new Map(),
    reservedExecutors: new Set(),
    reservedUntilMs: 0,
    isLoaded: false,
    isClosed: false,
    isReleasing: false,
    nextOffset: 0,
    takenOverAtMs: performance.now(),
    blockedUntilMs: 0,
    progress: createProgressLog({
      store,
      partition: { topic: PROGRESS_TOPIC, partition },
      writer: { name: writerName(partition), epoch },
      onFenced: () => owner.loseOwnership("store"),
      onFailure: (reason) =>
        events.log("progressDelayed", { partition, reason }),
    }),
    ticketCache: options.adviceClient &&
      createTicketCache(options.adviceClient, {
        onChange: () => owner.schedulePlacement(),
      }),
    schedulePlacement() {
      if (placeTimer !== undefined || !owner.isLoaded) return;
      placeTimer = setTimeout(() => {
        placeTimer = undefined;
        if (owner.isClosed || owner.isReleasing) return;
        if (isOwnershipConfirmed(owner, OWNERSHIP_GRACE_MS)) {
          startWaitingTasks(owner);
        }
      }, PLACE_DELAY_MS);
    },
    loseOwnership: () => undefined,
  };
  return owner;
}

async function takeOver(owner: OwnerState): Promise<void> {
  const { partition, epoch, store, events } = owner.options;
  while (!owner.isClosed) {
    const outcome = await loadPartition(store, { partition, epoch });
    if (owner.isClosed) return;
    if (outcome.type === "fenced") return owner.loseOwnership("store");
    while (!owner.isClosed && !owner.options.view.hasExecutorList()) {
      await sleep(TICK_MS);
    }
    if (outcome.type === "loaded" && !owner.isClosed) {
      applyState(owner, outcome.state);
      await follow(owner);
      return;
    }
    if (outcome.type !== "failed") return;
    events.log("loadDelayed", { partition, reason: outcome.reason });
    await sleep(TAIL_RETRY_MS);
  }
}

function applyState(owner: OwnerState, state: LoadedPartition): void {
  const { partition, epoch, events, view, leaseMs } = owner.options;
  owner.nextOffset = state.nextOffset;
  // The partition was ours from here on, so that no earlier owner's place was
  // confirmed any later.
  const dealtMs = owner.takenOverAtMs;
  owner.blockedUntilMs = dealtMs + OWNERSHIP_GRACE_MS + longestLeaseMs(leaseMs);
  for (const { id, accepted, offset } of state.jobs) {
    const progress = state.progress.get(id);
    const isInherited = progress !== undefined;
    const job = addJob(owner, id, { accepted, offset, isInherited });
    if (progress !== undefined) {
      applyProgress(job, { progress, failed: owner.failedRuns });
    }
    if (state.cancelled.has(id)) applyCancellation(owner, id);
  }
  if (state.unreadableCount === 0) dropOrphans(owner, state);
  owner.usedExecutors = new Set(state.usedExecutors);
  for (const id of state.usedExecutors) {
    owner.unconfirmedExecutors.set(id, owner.blockedUntilMs);
  }
  for (const report of view.executors().values()) {
    if (!belongsToPartition(owner, report)) continue;
    owner.unconfirmedExecutors.set(report.id, owner.blockedUntilMs);
  }

  const handover = decodeHandover(state.otherDocuments.get(HANDOVER_KEY));
  if (handover !== undefined) applyHandover(owner, handover);
  owner.isLoaded = true;
  events.log("partitionLoaded", {
    partition,
    epoch,
    jobs: state.jobs.length,
    unreadable: state.unreadableCount,
    executors: owner.unconfirmedExecutors.size,
    tookMs: Math.round(performance.now() - owner.takenOverAtMs),
  });
  refreshWorkers(owner);
  unblockTasks(owner);
}

/** Drops progress that an owner left behind while it forgot the job. */
function dropOrphans(owner: OwnerState, state: LoadedPartition): void {
  for (const id of state.progress.keys()) {
    if (!owner.jobs.has(id)) owner.progress.put(id, () => undefined);
  }
}

async function follow(owner: OwnerState): Promise<void> {
  while (!owner.isClosed && !owner.isReleasing) {
    const isRead = isOwnershipConfirmed(owner, ADMISSION_GRACE_MS) &&
      await readNewRecords(owner, TAIL_WAIT_MS);
    if (!isRead) await sleep(TAIL_RETRY_MS);
  }
}

function tick(owner: OwnerState): void {
  if (!owner.isLoaded) return;
  const nowMs = performance.now();
  // Another owner may renew a lease for as long as this one is not confirmed.
  const confirmedMs = Math.min(nowMs, owner.options.confirmedAtMs());
  for (const session of owner.sessions.values()) {
    session.expireRuns(confirmedMs);
  }
  for (const [id, endsMs] of owner.unconfirmedExecutors) {
    if (nowMs >= endsMs) confirmExecutor(owner, id);
  }
  if (owner.reservedExecutors.size > 0 && nowMs >= owner.reservedUntilMs) {
    reserve(owner, new Set());
  }
  drainWorkers(owner);
  if (isOwnershipConfirmed(owner, OWNERSHIP_GRACE_MS)) moveStragglers(owner);
  for (const job of owner.jobs.values()) {
    if (job.endedAtMs === undefined) createDueTasks(owner, job);
  }
  owner.schedulePlacement();
}

function reserve(owner: OwnerState, executors: ReadonlySet<string>): void {
  owner.reservedExecutors = executors;
  for (const worker of owner.workers.values()) {
    worker.isReserved = executors.has(worker.id);
  }
}

function countPending(owner: OwnerState, queue: string): number {
  let count = 0;
  for (const job of owner.jobs.values()) {
    if (job.accepted.queue === queue && stateOf(job) === "queued") count++;
  }
  return count;
}
