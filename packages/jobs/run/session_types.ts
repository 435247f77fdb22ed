/**
 * Types of the session between a partition owner and an executor.
 *
 * @module
 */

import type { Run } from "../job.ts";
import type { ExecutorClient, RunEnd, RunReport } from "../ports.ts";
import type { ExecutorState } from "../executor_state.ts";
import type { Size } from "../submission.ts";

/** Decision about a run that the owner did not track. */
export type Adoption =
  | { isAdopted: true }
  /**
   * The run must stop, and occupies this capacity until then; undefined if its
   * size is not known.
   */
  | { isAdopted: false; size: Size | undefined };

/** Calls from a session to the partition owner. */
export type SessionCallbacks = {
  /** A run of this owner has ended, or its executor no longer has it. */
  onRunEnd(
    run: Run,
    end: { result: RunEnd["result"]; checkpoint: string },
  ): void;
  /** Runs of an executor count as lapsed, before `onRunEnd` of each. */
  onLoss(executor: ExecutorState, runs: readonly Run[]): void;
  /** The executor reports the end of a run that this owner does not track. */
  onUnknownEnd(executor: ExecutorState, end: RunEnd): void;
  /**
   * The executor reports a run that this owner does not track. If the owner
   * does not adopt it, the run is stopped.
   */
  onUnknownRun(executor: ExecutorState, report: RunReport): Adoption;
  /** Calls back once the results of all reported ends are stored. */
  whenStored(callback: () => void): void;
  /** An answer shows that a later process has the executor's id. */
  onRestart(executor: ExecutorState): void;
  /** The executor has answered, failed to answer or been removed. */
  onChange(executor: ExecutorState): void;
  /** The executor has seen a higher fencing token, of a newer owner. */
  onFenced(): void;
};

/** Options of an {@linkcode ExecutorSession}. */
export type ExecutorSessionOptions = {
  executor: ExecutorState;
  executorClient: ExecutorClient;
  token: number;
  /** Duration of a lease in milliseconds. */
  leaseMs: number;
  /** Longest time for which any lease may last, in milliseconds. */
  longestLeaseMs: number;
  /**
   * Monotonic time until which a lease may be valid that this session does not
   * grant; it is called as the executor answers for the first time.
   */
  foreignLeaseEndsMs(): number;
  /** Whether the owner may renew leases, as its ownership is confirmed. */
  mayRenew(): boolean;
  /**
   * Whether the executor's next process may carry out a start that was given
   * up, so that a restart has to show soon.
   */
  hasLateStarts(): boolean;
  callbacks: SessionCallbacks;
};

/** Calls of a partition owner to one incarnation of an executor. */
export type ExecutorSession = {
  executor: ExecutorState;
  /**
   * Returns whether the executor's process has answered just now. An idle
   * executor is not polled, so that a restart may go unnoticed there.
   */
  isHeard(): boolean;
  /** Polls the executor and resolves to whether its process has answered. */
  check(): Promise<boolean>;
  /**
   * Requests the start of a run that occupies capacity already. Resolves to
   * `started`, or to the reason why it did not start.
   */
  start(run: Run, request: { spec: string; ticket: string }): Promise<string>;
  /** Stops a run; repeats the request until the executor confirms it. */
  stop(run: Run, reason: string): void;
  /** Limits a run to a percentage of its full work rate. */
  throttle(run: Run, percent: number): void;
  /** Polls the executor at once. */
  poll(): void;
  /** Marks the executor as ended, so that it runs nothing any more. */
  markEnded(): void;
  /**
   * Ends the runs of an unreachable or removed executor if its lease had
   * expired by a monotonic time up to which no other owner can have acted.
   * Later than that, one may have renewed the lease. If the executor has
   * restarted, the runs that its process has listed end at once.
   */
  expireRuns(undisputedMs: number): void;
  close(): void;
};
