/**
 * Token bucket that limits retries to a share of the requests.
 *
 * @module
 */

/** Token bucket; each retry takes one token. */
export type RetryBudget = {
  tokens: number;
};

/** Tokens added by each request, which allows retries for 10% of them. */
export const TOKENS_PER_REQUEST = 0.1;

/** Size of the bucket, which limits the burst of retries after a quiet time. */
export const MAX_RETRY_TOKENS = 10;

/**
 * Creates a full bucket.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget();
 * ```
 */
export function createRetryBudget(): RetryBudget {
  return { tokens: MAX_RETRY_TOKENS };
}

/**
 * Returns the budget after the first attempt of a further request.
 *
 * @example
 * ```ts
 * budget = addRetryTokens(budget);
 * ```
 */
export function addRetryTokens(budget: RetryBudget): RetryBudget {
  const tokens = budget.tokens + TOKENS_PER_REQUEST;
  return { tokens: Math.min(MAX_RETRY_TOKENS, tokens) };
}

/**
 * Returns the budget after a retry.
 *
 * @example
 * ```ts
 * if (decideRetry(attempt).retry) budget = takeRetryToken(budget);
 * ```
 */
export function takeRetryToken(budget: RetryBudget): RetryBudget {
  return { tokens: Math.max(0, budget.tokens - 1) };
}
