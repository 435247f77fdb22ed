import type { Urgency } from "@lagoonloom/decisions";
import type { ExchangeResult } from "@lagoonloom/endpoints";

/** Request on its way through this entry host. */
export type Order = {
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

/** Answer of an executor. */
export type OrderAnswer = Exclude<ExchangeResult, { type: "failed" }>;

/** Request without an answer. */
export type OrderFailure = {
  type: "failed";
  /** True only if the request provably did not run. */
  notRun: boolean;
  reason: string;
  retryAfterMs?: number;
};

/** Outcome of a request. */
export type OrderOutcome = OrderAnswer | OrderFailure;

/** Makes the failure of a request that provably did not run. */
export function notRun(reason: string, retryAfterMs = 1_000): OrderFailure {
  return { type: "failed", notRun: true, reason, retryAfterMs };
}

/** Makes the failure of a request that may have run. */
export function unknownOutcome(reason: string): OrderFailure {
  return { type: "failed", notRun: false, reason };
}
