/**
 * Clock and lease of an executor, as its owner knows them from its answers.
 *
 * @module
 */

import { readClocks } from "../_clock_reading.ts";
import type { ExecutorState } from "../executor_state.ts";

/** Share of the elapsed time by which the clock of an executor may lag. */
const MAX_CLOCK_DRIFT = 0.03;

/** Longest time after which a call without an answer is still carried out. */
export const MAX_LATENESS_MS = 12_000;

/** Longest time that a call takes to reach the executor. */
const MAX_TRANSIT_MS = 100;

/** Largest difference between readings of a clock that rounding explains. */
const MAX_ROUNDING_MS = 2;

/**
 * Returns whether an answer is of a later process than the one whose clock had
 * shown a time before the request was sent. The clock of each process is steady
 * and starts anew.
 */
export function isOfLaterProcess(
  clockMs: number,
  knownClockMs: number,
): boolean {
  return clockMs < knownClockMs - MAX_ROUNDING_MS;
}

/** Notes an answer of an executor and what its clock showed in it. */
export function recordAnswer(executor: ExecutorState, clockMs: number): void {
  const nowMs = performance.now();
  executor.answeredAtMs = nowMs;
  executor.heardAt = readClocks();
  executor.newestClockMs = Math.max(executor.newestClockMs, clockMs);
  executor.clockOffsetMs = clockMs - nowMs;
  executor.failedCalls = 0;
}

/**
 * Returns the expiry of a new lease on the executor's clock, and notes the
 * monotonic time at which it has certainly expired. The executor must have
 * answered before. The longer ago that was, the shorter is the lease, so that
 * it lasts no longer than the next owner would wait.
 */
export function extendLease(executor: ExecutorState, leaseMs: number): number {
  const nowMs = performance.now();
  // The clock may have fallen behind since the last answer.
  const lagMs = MAX_CLOCK_DRIFT * (nowMs - executor.answeredAtMs);
  const expiryMs = nowMs + executor.clockOffsetMs! + leaseMs - lagMs;
  const endsMs = nowMs + (1 + MAX_CLOCK_DRIFT) * leaseMs + MAX_TRANSIT_MS;
  executor.grantedUntilMs = endsMs;
  executor.leaseEndsMs = Math.max(executor.leaseEndsMs, endsMs);
  return Math.floor(expiryMs);
}

/**
 * Notes until which monotonic time a lease may be valid that an earlier owner
 * or an earlier session has granted, as the executor gives its first answer.
 */
export function recordForeignLease(
  executor: ExecutorState,
  endsMs: number,
): void {
  executor.leaseEndsMs = Math.max(executor.leaseEndsMs, endsMs);
  executor.foreignUntilMs = executor.leaseEndsMs;
}

/**
 * Notes that an executor has restarted under its id. The clock of the new
 * process starts anew, so that a lease by the clock of the previous process may
 * last as long there as any lease, from the latest time on at which a call
 * without an answer can still be carried out there.
 */
export function recordRestart(
  executor: ExecutorState,
  longestLeaseMs: number,
): void {
  executor.hasCrashed = true;
  if (executor.hasRestarted) return;
  executor.hasRestarted = true;
  const lastGrantMs = latestGrantMs(executor) + MAX_LATENESS_MS;
  const endsMs = Math.max(performance.now(), lastGrantMs) + longestLeaseMs;
  // A call to a process before that one may be carried out later still.
  executor.leaseEndsMs = Math.max(executor.leaseEndsMs, endsMs);
}

/** Returns the time of the newest granting call that has no answer. */
export function latestGrantMs({ openGrants }: ExecutorState): number {
  return Math.max(-Infinity, ...[...openGrants].map((it) => it.sentAtMs));
}
