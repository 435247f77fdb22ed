import type { FailedRuns } from "../ended/progress.ts";
import type { ProgressLog } from "../ended/progress_log.ts";
import type { Configuration, ExecutorReport, Queue } from "../fleet.ts";
import type { Job, JobsById, Run } from "../job.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { TicketCache } from "../placed/ticket_cache.ts";
import type { AdviceClient, ExecutorClient, Store } from "../ports.ts";
import type { WorkerSession } from "../run/session_types.ts";
import type { Worker } from "../worker.ts";
import type { HandoverRun } from "./handover.ts";
import type { Layout } from "./layout.ts";

/** What an owner needs to know of the world; read at each decision. */
export type OwnerView = {
  configuration(): Configuration | undefined;
  layout(): Layout;
  executors(): ReadonlyMap<string, ExecutorReport>;
  /** Whether the list of executors has been read once. */
  hasExecutorList(): boolean;
};

/** Options of an owner of a partition. */
export type PartitionOwnerOptions = {
  partition: number;
  /** Epoch in the store and fencing token at the executors. */
  epoch: number;
  store: Store;
  executorClient: ExecutorClient;
  adviceClient: AdviceClient | undefined;
  view: OwnerView;
  /** Length of a lease in milliseconds. */
  leaseMs: number;
  /** Steady time up to which the store has confirmed the ownership. */
  confirmedAtMs(): number;
  /** Time for which an ended job can be asked for, in milliseconds. */
  endedJobRetentionMs: number;
  events: JobEventLog;
  /** Tells that another owner has taken over. */
  onLost(reason: string): void;
};

/** State of an owner, shared by the parts of its work. */
export type OwnerState = {
  options: PartitionOwnerOptions;
  jobs: JobsById;
  workers: Map<string, Worker>;
  sessions: Map<Worker, WorkerSession>;
  /** Numbers of the failed runs by task. */
  failedRuns: FailedRuns;
  /** Executors that this or earlier owners may have used. */
  usedExecutors: Set<string>;
  /**
   * Executors that have not answered since the takeover, with the steady time
   * at which all that they may run has surely ended.
   */
  unconfirmedExecutors: Map<string, number>;
  /**
   * What these may run, by executor, as the owner before has told; undefined if
   * it may be anything.
   */
  inheritedRuns: Map<string, HandoverRun[]> | undefined;
  /** Steady time at which executors ended that the list may still hold. */
  endedExecutors: Map<string, number>;
  /** Executors to empty for a move or for upkeep. */
  reservedExecutors: ReadonlySet<string>;
  /** Steady time at which the reservations end by themselves. */
  reservedUntilMs: number;
  isLoaded: boolean;
  isClosed: boolean;
  isReleasing: boolean;
  /** Offset of the jobs topic to read on from. */
  nextOffset: number;
  takenOverAtMs: number;
  /** Steady time until which an unknown run of an inherited job may go on. */
  blockedUntilMs: number;
  progress: ProgressLog;
  ticketCache: TicketCache | undefined;
  /** Starts a round of placing soon. */
  schedulePlacement(): void;
  /** Ends the ownership after another owner has taken over. */
  loseOwnership(reason: string): void;
};

/**
 * Time without confirmation for which an owner goes on with what it has. It
 * outlasts usual outages of the store; a new owner waits as long for executors
 * that it can't reach.
 */
export const OWNERSHIP_GRACE_MS = 3_500;

/** Time that calls of an earlier owner may be on their way. */
export const IN_FLIGHT_MARGIN_MS = 500;

/** Rate by which the clocks of executors and owners may differ. */
const CLOCK_DRIFT_FACTOR = 1.05;

/** Returns how long a lease that an earlier owner gave can go on at most. */
export function longestLeaseMs(leaseMs: number): number {
  return CLOCK_DRIFT_FACTOR * leaseMs + IN_FLIGHT_MARGIN_MS;
}

/** Time without confirmation for which an owner takes new jobs. */
export const ADMISSION_GRACE_MS = 1_500;

/** Returns whether the ownership was confirmed within a time. */
export function isOwnershipConfirmed(
  owner: OwnerState,
  withinMs: number,
): boolean {
  return performance.now() - owner.options.confirmedAtMs() < withinMs;
}

/** Returns the queue of a job in the configuration in force. */
export function queueOf(owner: OwnerState, job: Job): Queue | undefined {
  const { queue } = job.accepted;
  return owner.options.view.configuration()?.queues
    .find(({ name }) => name === queue);
}

/** Stops a run and logs why. */
export function stopRun(owner: OwnerState, run: Run, reason: string): void {
  if (run.stopReason === "") {
    owner.options.events.log("runStopping", {
      task: run.task.name,
      run: run.number,
      executor: run.worker.id,
      reason,
    });
  }
  owner.sessions.get(run.worker)?.stop(run, reason);
}
