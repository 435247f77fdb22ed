/** Options of {@linkcode backoffMs}. */
export type BackoffOptions = {
  /** Upper bound of the first delay in milliseconds. */
  baseMs: number;
  /** Upper bound of every delay in milliseconds. */
  maxMs: number;
  /** Returns a number from 0 up to 1. */
  random: () => number;
};

/**
 * Returns the delay before the next attempt in milliseconds. The bound doubles
 * with each failure, and the delay lies in the upper half below it, so that
 * clients that failed together don't come back together.
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
