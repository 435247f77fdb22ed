/**
 * Estimates the recent peak of a service's arrival rate.
 *
 * @module
 */

/** Arrivals of a service in the current interval, and their recent peak. */
export type ArrivalRate = {
  /** Monotonic start of the current counting interval in milliseconds. */
  binStartMs: number;
  /** Arrivals in the current interval. */
  binCount: number;
  /** Decaying maximum in requests per millisecond. */
  peakPerMs: number;
};

/** Shortest counting interval in milliseconds. */
const BIN_MS = 500;

/** Half-life in milliseconds of a past peak. */
const PEAK_HALF_LIFE_MS = 60_000;

/**
 * Creates a rate without arrivals.
 *
 * @example
 * ```ts
 * const rate = createArrivalRate();
 * ```
 */
export function createArrivalRate(): ArrivalRate {
  return { binStartMs: 0, binCount: 0, peakPerMs: 0 };
}

/**
 * Counts one arrival. The peak decays over minutes, since demand often returns
 * to its peak after a quiet time.
 *
 * @example
 * ```ts
 * addArrival(rate, nowMs);
 * ```
 */
export function addArrival(rate: ArrivalRate, nowMs: number): void {
  const elapsed = nowMs - rate.binStartMs;
  if (elapsed >= BIN_MS) {
    const decayed = rate.peakPerMs * 0.5 ** (elapsed / PEAK_HALF_LIFE_MS);
    rate.peakPerMs = Math.max(decayed, rate.binCount / elapsed);
    rate.binStartMs = nowMs;
    rate.binCount = 0;
  }
  rate.binCount++;
}
