import { sleep } from "../_sleep.ts";
import {
  beginDue,
  readRecords,
  takeCancellation,
  takeJob,
} from "../accepted/take_records.ts";
import { forgetJobs } from "../ended/forget_jobs.ts";
import { applyProgress } from "../ended/progress.ts";
import { createProgressLog } from "../ended/progress_log.ts";
import { type JobBook, stateOf } from "../job_book.ts";
import { type PoolReport, reportPool } from "../machines/pool_report.ts";
import { createAdviceBook } from "../placed/advice_book.ts";
import { startWaitingTasks } from "../placed/start_tasks.ts";
import {
  endWorker,
  hearFrom,
  isMine,
  refreshWorkers,
  unblockTasks,
} from "../run/follow_workers.ts";
import { emptyWorkers } from "../run/empty_workers.ts";
import { moveStragglers } from "../run/stragglers.ts";
import type { Shown } from "../shown/shown.ts";
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
  AUTHORITY_MS,
  isConfirmed,
  longestLeaseMs,
  type OwnerState,
  type PartitionOwnerOptions,
  TAKING_MS,
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
  jobs: JobBook;
  workers: ReadonlyMap<string, Worker>;
  isLoaded(): boolean;
  /** State of a job; `unavailable` if the store can't be asked for it. */
  show(id: string): Promise<Shown<JobState>>;
  /** Accepted jobs of a queue of which nothing has started. */
  countPending(queue: string): number;
  /** Applies a change of the list of executors or of the configuration. */
  refresh(): void;
  /**
   * Reserves executors for moves and upkeep, for a short time, takes note of
   * those that have ended by these, and tells what the others do.
   */
  report(
    reserved: ReadonlySet<string>,
    ended: readonly string[],
  ): PoolReport;
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
  owner.lose = (reason) => {
    if (owner.isClosed) return;
    close();
    options.onLost(reason);
  };
  void takeOver(owner);
  forgetJobs(owner);
  return {
    partition,
    epoch,
    jobs: owner.jobs,
    workers: owner.workers,
    isLoaded: () => owner.isLoaded,
    async show(id) {
      const isCurrent = owner.jobs.has(id) || await readRecords(owner, 0);
      const job = owner.jobs.get(id);
      if (job !== undefined) return { type: "known", value: stateOf(job) };
      return { type: isCurrent && !owner.isClosed ? "missing" : "unavailable" };
    },
    countPending: (queue) => countPending(owner, queue),
    refresh: () => refreshWorkers(owner),
    report(reserved, ended) {
      for (const id of ended) endWorker(owner, id);
      reserve(owner, reserved);
      owner.reservedUntilMs = performance.now() + RESERVATION_MS;
      return reportPool(owner);
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
    failed: new Map(),
    usedExecutors: new Set(),
    unheard: new Map(),
    handedRuns: undefined,
    ended: new Map(),
    reserved: new Set(),
    reservedUntilMs: 0,
    isLoaded: false,
    isClosed: false,
    isReleasing: false,
    nextOffset: 0,
    takenOverAtMs: performance.now(),
    blockedUntilMs: 0,
    progress: createProgressLog({
      store,
      place: { topic: PROGRESS_TOPIC, partition },
      writer: { name: writerName(partition), epoch },
      onFenced: () => owner.lose("store"),
      onFailure: (reason) =>
        events.log("progressDelayed", { partition, reason }),
    }),
    advice: options.advice && createAdviceBook(options.advice, {
      onChange: () => owner.schedulePlacing(),
    }),
    schedulePlacing() {
      if (placeTimer !== undefined || !owner.isLoaded) return;
      placeTimer = setTimeout(() => {
        placeTimer = undefined;
        if (owner.isClosed || owner.isReleasing) return;
        if (isConfirmed(owner, AUTHORITY_MS)) startWaitingTasks(owner);
      }, PLACE_DELAY_MS);
    },
    lose: () => undefined,
  };
  return owner;
}

async function takeOver(owner: OwnerState): Promise<void> {
  const { partition, epoch, store, events } = owner.options;
  while (!owner.isClosed) {
    const outcome = await loadPartition(store, { partition, epoch });
    if (owner.isClosed) return;
    if (outcome.type === "fenced") return owner.lose("store");
    while (!owner.isClosed && !owner.options.view.hasExecutors()) {
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
  owner.blockedUntilMs = dealtMs + AUTHORITY_MS + longestLeaseMs(leaseMs);
  for (const { id, accepted, offset } of state.jobs) {
    const progress = state.progress.get(id);
    const isInherited = progress !== undefined;
    const job = takeJob(owner, id, { accepted, offset, isInherited });
    if (progress !== undefined) {
      applyProgress(job, { progress, failed: owner.failed });
    }
    if (state.cancelled.has(id)) takeCancellation(owner, id);
  }
  if (state.unreadable === 0) dropOrphans(owner, state);
  owner.usedExecutors = new Set(state.usedExecutors);
  for (const id of state.usedExecutors) {
    owner.unheard.set(id, owner.blockedUntilMs);
  }
  for (const report of view.executors().values()) {
    if (!isMine(owner, report)) continue;
    owner.unheard.set(report.id, owner.blockedUntilMs);
  }

  const handover = decodeHandover(state.other.get(HANDOVER_KEY));
  if (handover !== undefined) applyHandover(owner, handover);
  owner.isLoaded = true;
  events.log("partitionLoaded", {
    partition,
    epoch,
    jobs: state.jobs.length,
    unreadable: state.unreadable,
    executors: owner.unheard.size,
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
    const isRead = isConfirmed(owner, TAKING_MS) &&
      await readRecords(owner, TAIL_WAIT_MS);
    if (!isRead) await sleep(TAIL_RETRY_MS);
  }
}

function tick(owner: OwnerState): void {
  if (!owner.isLoaded) return;
  const nowMs = performance.now();
  // Another owner may renew a lease for as long as this one is not confirmed.
  const confirmedMs = Math.min(nowMs, owner.options.confirmedAtMs());
  for (const session of owner.sessions.values()) session.expire(confirmedMs);
  for (const [id, endsMs] of owner.unheard) {
    if (nowMs >= endsMs) hearFrom(owner, id);
  }
  if (owner.reserved.size > 0 && nowMs >= owner.reservedUntilMs) {
    reserve(owner, new Set());
  }
  emptyWorkers(owner);
  if (isConfirmed(owner, AUTHORITY_MS)) moveStragglers(owner);
  for (const job of owner.jobs.values()) {
    if (job.endedAtMs === undefined) beginDue(owner, job);
  }
  owner.schedulePlacing();
}

function reserve(owner: OwnerState, executors: ReadonlySet<string>): void {
  owner.reserved = executors;
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
