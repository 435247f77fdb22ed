/** Options of {@linkcode backoffMs}. */
export type BackoffOptions = {
  /** Largest delay after the first failure, in milliseconds. */
  baseMs: number;
  /** Largest delay after any failure, in milliseconds. */
  maxMs: number;
  /** Returns a random number from 0 up to, but not including, 1. */
  random: () => number;
};

/**
 * Returns the delay before the next attempt in milliseconds: exponential
 * backoff with jitter. The upper bound doubles with each failure, and the delay
 * is random between half the bound and the bound, so that clients that failed
 * at the same time don't retry at the same time.
 *
 * @example
 * ```ts
 * const random = Math.random;
 * const delayMs = backoffMs(3, { baseMs: 50, maxMs: 2_000, random });
 * ```
 */
export function backoffMs(failures: number, options: BackoffOptions): number {
  const exponent = Math.min(Math.max(failures - 1, 0), 30);
  const bound = Math.min(options.baseMs * 2 ** exponent, options.maxMs);
  return bound * (0.5 + options.random() / 2);
}
