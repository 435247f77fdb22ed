/**
 * State and time limits that the parts of a partition owner share.
 *
 * @module
 */

import type { FailedRuns } from "../ended/progress.ts";
import type { ProgressLog } from "../ended/progress_log.ts";
import type { Configuration, ExecutorReport, Machine } from "../fleet.ts";
import type { ForwardedJob } from "../forwarded/forwarded_job.ts";
import type { JobsById, Run } from "../job.ts";
import type {
  EndedExecutor,
  LateGrant,
  LateStart,
  UsedExecutor,
} from "../model.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { ArrivalLog } from "../organisations/shares/arrival_log.ts";
import type { WeightBuckets } from "../organisations/shares/weight_buckets.ts";
import type { OrganisationCaps } from "../organisations/caps/organisation_caps.ts";
import type {
  OrganisationLimits,
} from "../organisations/caps/organisation_limits.ts";
import type { TicketCache } from "../placed/ticket_cache.ts";
import type {
  ReservationBooks,
  ReservationMode,
} from "../placed/reserved/reservation_books.ts";
import type { AdviceClient, ExecutorClient, Store } from "../ports.ts";
import type { LostExecutor } from "../run/lost_executor.ts";
import type { ExecutorSession } from "../run/session_types.ts";
import type { QueryResult } from "../queries/query_result.ts";
import type {
  AcceptedJob,
  Cancellation,
  JobState,
  QueuePolicy,
} from "../submission.ts";
import type { ExecutorState } from "../executor_state.ts";
import type { HandoverRun } from "./handover_record.ts";
import type { Layout } from "./layout.ts";

/** Newest state of the platform, which an owner reads at each decision. */
export type OwnerView = {
  configuration(): Configuration | undefined;
  layout(): Layout;
  /** Has the layout read again, as it lacks a service. */
  requestLayout(): void;
  executors(): ReadonlyMap<string, ExecutorReport>;
  /** Whether the list of executors has been read. */
  hasExecutorList(): boolean;
  /** Monotonic time of the store's last answer about this list. */
  executorsReadAtMs(): number;
};

/** Options of a partition owner. */
export type PartitionOwnerOptions = {
  partition: number;
  /** Epoch of appends to the store and fencing token at executors. */
  epoch: number;
  store: Store;
  executorClient: ExecutorClient;
  adviceClient: AdviceClient | undefined;
  view: OwnerView;
  /** Lists all machines; undefined if the platform did not answer. */
  listMachines(): Promise<Machine[] | undefined>;
  /** Duration of an executor's lease in milliseconds. */
  leaseMs: number;
  /** Longest lease that executors grant, in milliseconds. */
  maxLeaseMs: number;
  /** Monotonic time up to which the store has confirmed the ownership. */
  confirmedAtMs(): number;
  /** Monotonic time up to which no other owner can have acted. */
  undisputedAtMs(): number;
  /** Caps of organisations; by default those of the configuration. */
  caps?: OrganisationCaps;
  /** Part of its cap by which an organisation may exceed it; 0 by default. */
  capOvershoot?: number;
  /** Time for which the state of an ended job is kept, in milliseconds. */
  endedJobRetentionMs: number;
  /** Queries the state of a job from the owner of another partition. */
  queryJob(partition: number, id: string): Promise<QueryResult<JobState>>;
  /** Whether tasks that fit nowhere are reserved room; never by default. */
  reservesRoom?: ReservationMode | undefined;
  events: JobEventLog;
  /** Called when the state of the partition could not be loaded in time. */
  onLoadTimeout(): void;
  /** Called when another owner has taken over. */
  onLost(reason: string): void;
};

/** State of a partition owner. */
export type OwnerState = {
  options: PartitionOwnerOptions;
  jobs: JobsById;
  executors: Map<string, ExecutorState>;
  sessions: Map<ExecutorState, ExecutorSession>;
  /**
   * Cancellations by job, of jobs that are not known (yet) and by callers whose
   * records have keys of their own.
   */
  cancellations: Map<string, Cancellation[]>;
  /** Jobs that are handed on to other partitions, by id. */
  forwardedJobs: Map<string, ForwardedJob>;
  /** Hands on what waits for it, unless that goes on already. */
  forwardSoon(): void;
  /** Numbers of failed runs by task. */
  failedRuns: FailedRuns;
  /** Executors on which this or earlier owners may run tasks, by id. */
  usedExecutors: Map<string, UsedExecutor>;
  /** Executors to which earlier owners may have granted leases, by id. */
  inheritedExecutors: ReadonlyMap<string, UsedExecutor>;
  /**
   * Executors that have not answered since the takeover, with the monotonic
   * time at which all runs of earlier owners there have certainly ended.
   */
  unconfirmedExecutors: Map<string, number>;
  /**
   * Runs that may go on at unconfirmed executors, by executor, as the handover
   * of the previous owner says; undefined if there may be others.
   */
  inheritedRuns: Map<string, HandoverRun[]> | undefined;
  /** Executors that ended and that the platform's list may still show. */
  endedExecutors: Map<string, EndedExecutor>;
  /** Grants that the next process of an executor may carry out, by its id. */
  lateGrants: Map<string, LateGrant[]>;
  /** Whether the owner looks for executors that have ended. */
  isSearchingEnded: boolean;
  /** Starts that the next process of an executor may carry out, by its id. */
  lateStarts: Map<string, LateStart[]>;
  /** Executors whose runs were lost and that may have crashed, by id. */
  lostExecutors: Map<string, LostExecutor>;
  /** Executors to drain for a move or for upkeep of their machines. */
  reservedExecutors: ReadonlySet<string>;
  /** Monotonic time at which the reservations expire. */
  reservedUntilMs: number;
  isLoaded: boolean;
  /**
   * Whether a handover that this owner has read is still stored. The next owner
   * would read it again, so that nothing starts.
   */
  hasStoredHandover: boolean;
  isClosed: boolean;
  isReleasing: boolean;
  /** Offset of the next record to read from the jobs topic. */
  nextOffset: number;
  /** Monotonic time up to which this owner has read all job records. */
  jobsKnownAtMs: number;
  /** Monotonic time of the first failed read of jobs since the last answer. */
  unreadSinceMs: number | undefined;
  /** Monotonic time at which this owner began to take over. */
  takenOverAtMs: number;
  /** Monotonic time until which unknown runs of inherited jobs may go on. */
  blockedUntilMs: number;
  /** Caps of organisations. */
  caps: OrganisationCaps;
  /** Limits within these caps that this owner keeps to. */
  limits: OrganisationLimits;
  /** Monotonic times of the last log lines about organisations at a limit. */
  loggedAtCapMs: Map<string, number>;
  progress: ProgressLog;
  ticketCache: TicketCache | undefined;
  /** Jobs that each organisation may still send within its weight. */
  weightBuckets: WeightBuckets;
  arrivals: ArrivalLog;
  reservations: ReservationBooks;
  /** Schedules a round of placement, unless one is scheduled already. */
  schedulePlacement(): void;
  /** Stops this owner because another one has taken over. */
  loseOwnership(reason: string): void;
};

/**
 * Time without confirmation of the ownership for which an owner goes on with
 * the jobs that it has. It outlasts usual outages of the store. A new owner has
 * to wait as long for executors that it can't reach.
 */
export const OWNERSHIP_GRACE_MS = 3_500;

/** Time for which requests of an earlier owner may still be in flight. */
export const IN_FLIGHT_MARGIN_MS = 500;

/** Largest ratio of the speeds of two clocks of executors and owners. */
const CLOCK_DRIFT_FACTOR = 1.05;

/**
 * Returns the longest time for which a lease of some duration may last that was
 * granted by a call of an earlier owner or a call that is still in flight.
 */
export function longestLeaseMs(leaseMs: number): number {
  return CLOCK_DRIFT_FACTOR * leaseMs + IN_FLIGHT_MARGIN_MS;
}

/** Time without confirmation of the ownership for which new jobs are taken. */
export const ADMISSION_GRACE_MS = 1_500;

/** Returns whether the ownership was confirmed within the last `withinMs`. */
export function isOwnershipConfirmed(
  owner: OwnerState,
  withinMs: number,
): boolean {
  return performance.now() - owner.options.confirmedAtMs() < withinMs;
}

/**
 * Age of the known job records up to which tasks are started. Callers rely on
 * it that nothing starts 3 s after a cancellation was acknowledged.
 */
const MAX_JOBS_AGE_MS = 2_700;

/**
 * Returns whether tasks may be started: no other owner may do so, and no
 * cancellation is stored that this owner should have read by now.
 */
export function mayStart(owner: OwnerState): boolean {
  return isOwnershipConfirmed(owner, OWNERSHIP_GRACE_MS) &&
    performance.now() - owner.jobsKnownAtMs < MAX_JOBS_AGE_MS;
}

/** Policy of a queue of which neither a configuration nor a record is known. */
const UNKNOWN_POLICY: QueuePolicy = {
  priority: 9,
  maxFailures: 3,
  stretch: 1,
  targetLatencyMs: 0,
  needsAdvice: false,
};

/**
 * Returns the policy of the queue of an accepted job. If the queue is not
 * configured any more, the job goes on under the policy that is kept with it.
 */
export function policyOf(
  owner: OwnerState,
  { queue, policy }: AcceptedJob,
): QueuePolicy {
  const queues = owner.options.view.configuration()?.queues;
  return queues?.find(({ name }) => name === queue) ?? policy ?? UNKNOWN_POLICY;
}

/** Stops a run and logs the reason, unless it is being stopped already. */
export function stopRun(owner: OwnerState, run: Run, reason: string): void {
  if (run.stopReason === "") {
    owner.options.events.log("runStopping", {
      task: run.task.name,
      run: run.number,
      executor: run.executor.id,
      reason,
    });
  }
  owner.sessions.get(run.executor)?.stop(run, reason);
}
