import type { RetryBudget } from "./retry_budget.ts";

/** Failed attempt of a request. */
export type FailedAttempt = {
  /** What reached the executor: certainly nothing, or perhaps a part. */
  sent: "nothing" | "maybe";
  isIdempotent: boolean;
  budget: RetryBudget;
  /** Attempts made so far, at least 1. */
  attempts: number;
  nowMs: number;
  deadlineAtMs: number;
  /** Run time in milliseconds that a further attempt probably takes. */
  expectedRunMs: number;
};

/** Decision about a further attempt, with the reason against it. */
export type RetryDecision =
  | { retry: true }
  | {
    retry: false;
    reason: "may-have-run" | "attempts" | "deadline" | "budget";
  };

/** Most attempts of one request. */
export const MAX_ATTEMPTS = 3;

/**
 * Decides whether a failed request is tried again. A request that is not
 * idempotent is retried only if certainly nothing was sent.
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
  // Sums of 0.1 fall short of 1 by rounding.
  if (attempt.budget.tokens < 1 - 1e-9) {
    return { retry: false, reason: "budget" };
  }
  return { retry: true };
}
