/** Share of a token that each first try adds. */
const TOKENS_PER_REQUEST = 0.1;

/** Most tokens that a quiet period saves up. */
const MAX_TOKENS = 20;

/** Token bucket that limits retries to a tenth of the requests. */
export function createRetryBudget() {
  let tokens = MAX_TOKENS;
  return {
    countRequest(): void {
      tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    },
    takeRetry(): boolean {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
