/**
 * Requests in the form that the request path handles, and their outcomes.
 *
 * @module
 */

import type { Urgency } from "@lagoonloom/decisions";
import type { ExchangeResult } from "@lagoonloom/endpoints";

/** Request of a caller, or of another entry host, that this one handles. */
export type RoutedRequest = {
  id: string;
  service: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  urgency: Urgency;
  arrivedAtMs: number;
  deadlineAtMs: number;
  isIdempotent: boolean;
  isForwarded: boolean;
};

/** Answer of an executor, whole or as a stream. */
export type ExecutorAnswer = Exclude<ExchangeResult, { type: "failed" }>;

/** Request that ended without an answer. */
export type RequestFailure = {
  type: "failed";
  /** True only if the request provably did not run. */
  notRun: boolean;
  reason: string;
  retryAfterMs?: number;
};

/** Outcome of a request. */
export type RequestOutcome = ExecutorAnswer | RequestFailure;

/** Creates the outcome of a request that provably did not run. */
export function notRunOutcome(
  reason: string,
  retryAfterMs = 1_000,
): RequestFailure {
  return { type: "failed", notRun: true, reason, retryAfterMs };
}

/** Creates the outcome of a request that may have run. */
export function unknownOutcome(reason: string): RequestFailure {
  return { type: "failed", notRun: false, reason };
}
