/**
 * Owner of a partition, which decides about its jobs and executors.
 *
 * @module
 */

import { shareCalls } from "../_share_calls.ts";
import { sleep } from "../_sleep.ts";
import {
  addJob,
  readNewRecords,
  updateOccurrences,
} from "../accepted/apply_records.ts";
import { finishIfComplete, finishJob } from "../ended/finish_job.ts";
import { storeStart } from "../ended/store_start.ts";
import { startRemovingExpiredJobs } from "../ended/remove_expired_jobs.ts";
import {
  type AppendFailure,
  createProgressLog,
  type ProgressLog,
} from "../ended/progress_log.ts";
import { startForwarding } from "../forwarded/forward_jobs.ts";
import type { ForwardedJob } from "../forwarded/forwarded_job.ts";
import {
  countUnforwarded,
  isCancelled,
  targetOf,
} from "../forwarded/forwarded_jobs.ts";
import { startRemovingForwardedJobs } from "../forwarded/remove_forwarded_jobs.ts";
import { hasEnded, type Job, type JobsById, stateOf } from "../job.ts";
import {
  type PartitionReport,
  reportPartition,
} from "../machines/partition_report.ts";
import { createArrivalLog } from "../organisations/shares/arrival_log.ts";
import type { FullService } from "../organisations/shares/full_services.ts";
import { watchFullServices } from "../organisations/shares/watch_full_services.ts";
import { createWeightBuckets } from "../organisations/shares/weight_buckets.ts";
import { answerLimits } from "../organisations/caps/answer_limits.ts";
import type { LimitAnswer } from "../organisations/caps/cap_broker.ts";
import { createOrganisationCaps } from "../organisations/caps/organisation_caps.ts";
import {
  createOrganisationLimits,
  type LimitMessage,
} from "../organisations/caps/organisation_limits.ts";
import {
  type OrganisationUse,
  readOrganisationUse,
} from "../organisations/caps/read_organisation_use.ts";
import { createTicketCache } from "../placed/ticket_cache.ts";
import { createReservationBooks } from "../placed/reserved/reservation_books.ts";
import { startWaitingTasks } from "../placed/start_tasks.ts";
import { recordKnownStarts } from "../placed/used_executors.ts";
import { createWaitingLog } from "../placed/waiting_log.ts";
import {
  confirmExecutor,
  markExecutorEnded,
  refreshExecutors,
} from "../run/follow_executors.ts";
import { confirmEndedExecutors } from "../run/ended_executors.ts";
import { drainExecutors } from "../run/drain_executors.ts";
import { moveStragglers } from "../run/stragglers.ts";
import type { LocatedResult, QueryResult } from "../queries/query_result.ts";
import type { Caller, JobState } from "../submission.ts";
import { PROGRESS_TOPIC } from "../topics.ts";
import type { ExecutorState } from "../executor_state.ts";
import {
  isOrganisationGone,
  mayAccess,
  type OwnedJob,
} from "../organisations/keys/job_access.ts";
import { takeOver } from "./_take_over.ts";
import { storeHandover } from "./handover.ts";
import { servicePartitions } from "./layout.ts";
import { writerName } from "./load_partition.ts";
import {
  ADMISSION_GRACE_MS,
  isOwnershipConfirmed,
  mayStart,
  OWNERSHIP_GRACE_MS,
  type OwnerState,
  type PartitionOwnerOptions,
} from "./owner_state.ts";

/** Interval of the owner's regular checks. */
const CHECK_INTERVAL_MS = 100;

/**
 * Longest time to load a partition. Another member may have a faster link; on
 * one of 7 Mbit/s, 8 MB can be loaded in this time.
 */
const MAX_LOAD_MS = 10_000;

/**
 * Least delay of a round of placement, which collects several changes into one.
 * It is as long as the last round took, so that placement leaves time to handle
 * the answers of executors.
 */
const MIN_PLACEMENT_DELAY_MS = 4;

/** Longest delay of a round of placement. */
const MAX_PLACEMENT_DELAY_MS = 50;

/** Time after which the reservation of executors expires if not renewed. */
const RESERVATION_MS = 3_000;

/** Owner of the jobs and the executors of one partition. */
export type PartitionOwner = {
  partition: number;
  epoch: number;
  jobs: JobsById;
  executors: ReadonlyMap<string, ExecutorState>;
  isLoaded(): boolean;
  /**
   * Returns the state of a job; `unavailable` if the job is not known and the
   * store does not answer, or if it is not clear whether it is the caller's.
   * Jobs of others are answered as unknown, those that another partition runs
   * with that partition.
   */
  getJobState(id: string, caller?: Caller): Promise<LocatedResult<JobState>>;
  /** Whether the id of a job is in use by others than the caller. */
  isForeign(id: string, caller: Caller): boolean;
  /** Counts the accepted jobs of a queue that have not started. */
  countPending(queue: string): number;
  /**
   * Returns the full services, and the organisations whose further jobs are
   * beyond their weight at the moment.
   */
  fullServices(): readonly FullService[];
  /** Applies changes of the configuration and of the list of executors. */
  refresh(): void;
  /**
   * Reserves executors for moves and upkeep of their machines, for a short
   * time, removes those that have ended by these, and reports the use of the
   * others.
   */
  reserveAndReport(
    reserved: ReadonlySet<string>,
    ended: readonly string[],
  ): PartitionReport;
  /**
   * Sets what tasks of each organisation may run here, and tells what they use;
   * undefined if this owner must not answer.
   */
  applyLimits(message: LimitMessage): LimitAnswer | undefined;
  /** Returns what the organisations with caps use here. */
  organisationUse(): ReadonlyMap<string, OrganisationUse>;
  /** Stores pending changes and a handover, then gives up the partition. */
  release(timeoutMs: number): Promise<void>;
  close(): void;
};

/**
 * Takes over a partition and runs its jobs: fences earlier owners, loads the
 * stored state, polls the executors, and starts and follows tasks from then on.
 *
 * @example
 * ```ts
 * const owner = createPartitionOwner({ partition: 3, epoch: 7, ...options });
 * ```
 */
export function createPartitionOwner(
  options: PartitionOwnerOptions,
): PartitionOwner {
  const { partition, epoch, events } = options;
  const owner = createState(options);
  const waitingLog = createWaitingLog(owner);
  const readStoredRecords = shareCalls(() => readNewRecords(owner, 0));
  let loadingMs = 0;
  const timer = setInterval(() => {
    runChecks(owner);
    waitingLog.check();
    owner.arrivals.check();
    // While the store is down for all, no other member can load it either.
    if (owner.isLoaded || !isOwnershipConfirmed(owner, ADMISSION_GRACE_MS)) {
      return;
    }
    loadingMs += CHECK_INTERVAL_MS;
    if (loadingMs === MAX_LOAD_MS) options.onLoadTimeout();
  }, CHECK_INTERVAL_MS);
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
  startForwarding(owner, { addHere: (job) => void addJob(owner, job) });
  void takeOver(owner);
  startRemovingExpiredJobs(owner);
  startRemovingForwardedJobs(owner);
  return {
    partition,
    epoch,
    jobs: owner.jobs,
    executors: owner.executors,
    isLoaded: () => owner.isLoaded,
    async getJobState(id, caller = {}) {
      const isKnown = owner.jobs.has(id) || owner.forwardedJobs.has(id);
      const isCurrent = isKnown || await readStoredRecords();
      const job = owner.jobs.get(id);
      if (job !== undefined) return showTo(owner, { job, caller });
      const forwarded = owner.forwardedJobs.get(id);
      if (forwarded !== undefined) {
        return showForwarded(owner, { job: forwarded, caller });
      }
      return { type: isCurrent && !owner.isClosed ? "missing" : "unavailable" };
    },
    isForeign(id, caller) {
      const job = owner.jobs.get(id)?.accepted ?? owner.forwardedJobs.get(id);
      return job !== undefined && !mayAccess(job, caller);
    },
    countPending: (queue) => countPending(owner, queue),
    fullServices: watchFullServices(owner),
    refresh: () => refreshExecutors(owner),
    reserveAndReport(reserved, ended) {
      for (const id of ended) {
        if (owner.executors.has(id)) {
          events.log("executorTakenAway", { executor: id });
        }
        markExecutorEnded(owner, id);
      }
      reserveExecutors(owner, reserved);
      owner.reservedUntilMs = performance.now() + RESERVATION_MS;
      return reportPartition(owner);
    },
    applyLimits: (message) => answerLimits(owner, message),
    organisationUse: () => readOrganisationUse(owner),
    async release(timeoutMs) {
      owner.isReleasing = true;
      storeHandover(owner);
      // Later ends of runs are left to the next owner, which reads them from
      // the executors: to wait for these too could last as long as runs end.
      await Promise.race([untilStored(owner.progress), sleep(timeoutMs)]);
      close();
    },
    close,
  };
}

function showTo(
  owner: OwnerState,
  { job, caller }: { job: Job; caller: Caller },
): QueryResult<JobState> {
  if (mayAccess(job.accepted, caller)) {
    return { type: "known", value: stateOf(job) };
  }
  return denyAccess(owner, job.accepted);
}

/** Shows a job that another partition runs, or will run. */
function showForwarded(
  owner: OwnerState,
  { job, caller }: { job: ForwardedJob; caller: Caller },
): LocatedResult<JobState> {
  if (!mayAccess(job, caller)) return denyAccess(owner, job);
  if (job.accepted !== undefined) {
    const value = isCancelled(owner, job) ? "cancelled" : "queued";
    return { type: "known", value };
  }
  const partition = targetOf(owner, job);
  return partition === undefined
    ? { type: "unavailable" }
    : { type: "elsewhere", partition };
}

function denyAccess(
  owner: OwnerState,
  job: OwnedJob,
): { type: "missing" | "unavailable" } {
  const isGone = isOrganisationGone(job, owner.options.view.configuration());
  return { type: isGone ? "unavailable" : "missing" };
}

function createState(options: PartitionOwnerOptions): OwnerState {
  const { partition, epoch, store, events } = options;
  let placementTimer: NodeJS.Timeout | undefined;
  let lastRoundMs = 0;
  const owner: OwnerState = {
    options,
    jobs: new Map(),
    executors: new Map(),
    sessions: new Map(),
    cancellations: new Map(),
    forwardedJobs: new Map(),
    forwardSoon: () => undefined,
    failedRuns: new Map(),
    usedExecutors: new Map(),
    inheritedExecutors: new Map(),
    unconfirmedExecutors: new Map(),
    inheritedRuns: undefined,
    hasStoredHandover: false,
    endedExecutors: new Map(),
    isSearchingEnded: false,
    lateGrants: new Map(),
    lateStarts: new Map(),
    lostExecutors: new Map(),
    reservedExecutors: new Set(),
    reservedUntilMs: 0,
    isLoaded: false,
    isClosed: false,
    isReleasing: false,
    nextOffset: 0,
    jobsKnownAtMs: -Infinity,
    unreadSinceMs: undefined,
    takenOverAtMs: performance.now(),
    blockedUntilMs: 0,
    caps: options.caps ?? createOrganisationCaps(options.view.configuration),
    limits: createOrganisationLimits({
      epoch,
      capOvershoot: options.capOvershoot ?? 0,
      partitionCount: () => servicePartitions(options.view.layout()).size,
    }),
    loggedAtCapMs: new Map(),
    progress: createProgressLog({
      store,
      partition: { topic: PROGRESS_TOPIC, partition },
      writer: { name: writerName(partition), epoch },
      onFenced: () => owner.loseOwnership("store"),
      onFailure: (failure) =>
        events.log("progressDelayed", { partition, ...failure }),
      onRejected: (failure) => handleRejection(owner, failure),
    }),
    ticketCache: options.adviceClient &&
      createTicketCache(options.adviceClient, {
        onChange: () => owner.schedulePlacement(),
      }),
    weightBuckets: createWeightBuckets(),
    arrivals: createArrivalLog(partition, events),
    reservations: createReservationBooks(events),
    schedulePlacement() {
      if (placementTimer !== undefined || !owner.isLoaded) return;
      const delayMs = Math.max(MIN_PLACEMENT_DELAY_MS, lastRoundMs);
      placementTimer = setTimeout(() => {
        placementTimer = undefined;
        if (owner.isClosed || owner.isReleasing) return;
        if (!mayStart(owner)) return;
        const startedAtMs = performance.now();
        startWaitingTasks(owner);
        lastRoundMs = performance.now() - startedAtMs;
      }, Math.min(delayMs, MAX_PLACEMENT_DELAY_MS));
    },
    loseOwnership: () => undefined,
  };
  return owner;
}

/** Ends the job whose progress the store does not take, as all others go on. */
function handleRejection(owner: OwnerState, failure: AppendFailure): void {
  const { partition, events } = owner.options;
  events.log("progressRejected", { partition, ...failure });
  const job = owner.jobs.get(failure.largestKey);
  if (job === undefined || hasEnded(job)) return;
  job.hasFailed = true;
  finishJob(owner, job, "the store does not take its progress");
}

/** Resolves once all records that were put before are stored. */
function untilStored(progress: ProgressLog): Promise<void> {
  return new Promise((resolve) => progress.whenStored(resolve));
}

function runChecks(owner: OwnerState): void {
  if (!owner.isLoaded) return;
  const nowMs = performance.now();
  // Later than that, another owner may have renewed leases.
  const undisputedMs = Math.min(nowMs, owner.options.undisputedAtMs());
  for (const session of owner.sessions.values()) {
    session.expireRuns(undisputedMs);
  }
  for (const [id, endsMs] of owner.unconfirmedExecutors) {
    if (undisputedMs < endsMs) continue;
    const { partition, events } = owner.options;
    events.log("executorWaitOver", { executor: id, partition });
    confirmExecutor(owner, id);
  }
  void confirmEndedExecutors(owner);
  recordKnownStarts(owner);
  if (owner.reservedExecutors.size > 0 && nowMs >= owner.reservedUntilMs) {
    reserveExecutors(owner, new Set());
  }
  drainExecutors(owner);
  if (isOwnershipConfirmed(owner, OWNERSHIP_GRACE_MS)) moveStragglers(owner);
  for (const job of owner.jobs.values()) {
    updateOccurrences(owner, job);
    finishIfComplete(owner, job);
    if (!owner.isReleasing) storeStart(owner, job);
  }
  owner.schedulePlacement();
}

function reserveExecutors(
  owner: OwnerState,
  executors: ReadonlySet<string>,
): void {
  owner.reservedExecutors = executors;
  for (const executor of owner.executors.values()) {
    executor.isReserved = executors.has(executor.id);
  }
}

function countPending(owner: OwnerState, queue: string): number {
  let count = 0;
  for (const job of owner.jobs.values()) {
    if (job.accepted.queue === queue && stateOf(job) === "queued") count++;
  }
  return count + countUnforwarded(owner, queue);
}
