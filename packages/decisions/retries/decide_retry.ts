/**
 * Decides whether a failed request is retried.
 *
 * @module
 */

import type { RetryBudget } from "./retry_budget.ts";

/** Failed attempt of a request, with the limits on further ones. */
export type FailedAttempt = {
  /** Whether a part of the request may have reached the executor. */
  sent: "nothing" | "maybe";
  isIdempotent: boolean;
  budget: RetryBudget;
  /** Attempts made so far, at least 1. */
  attempts: number;
  nowMs: number;
  deadlineAtMs: number;
  /** Expected run time of a further attempt in milliseconds. */
  expectedRunMs: number;
};

/** Decision about a further attempt, with the reason if there is none. */
export type RetryDecision =
  | { retry: true }
  | {
    retry: false;
    reason: "may-have-run" | "attempts" | "deadline" | "budget";
  };

/** Limit on the attempts of one request, the first one included. */
export const MAX_ATTEMPTS = 3;

/**
 * Decides whether a failed request is retried. A request that is not idempotent
 * is retried only if certainly nothing of it was sent.
 *
 * @example
 * ```ts
 * const decision = decideRetry({
 *   sent: "nothing",
 *   isIdempotent: false,
 *   budget: createRetryBudget(),
 *   attempts: 1,
 *   nowMs: 0,
 *   deadlineAtMs: 2_000,
 *   expectedRunMs: 80,
 * });
 * ```
 */
export function decideRetry(attempt: FailedAttempt): RetryDecision {
  if (attempt.sent !== "nothing" && !attempt.isIdempotent) {
    return { retry: false, reason: "may-have-run" };
  }
  if (attempt.attempts >= MAX_ATTEMPTS) {
    return { retry: false, reason: "attempts" };
  }
  if (attempt.nowMs + attempt.expectedRunMs >= attempt.deadlineAtMs) {
    return { retry: false, reason: "deadline" };
  }
  // Ten additions of 0.1 give slightly less than 1 by rounding.
  if (attempt.budget.tokens < 1 - 1e-9) {
    return { retry: false, reason: "budget" };
  }
  return { retry: true };
}
