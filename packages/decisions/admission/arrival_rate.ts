/** Recent arrivals of a service. */
export type ArrivalRate = {
  binStartMs: number;
  binCount: number;
  /** Decaying maximum in requests per millisecond. */
  peakPerMs: number;
};

/** Length of a counting interval in milliseconds. */
const BIN_MS = 500;

/** Time in milliseconds after which a past peak counts half. */
const PEAK_HALF_LIFE_MS = 60_000;

/**
 * Returns the rate before any arrival.
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
 * Counts one arrival. The peak decays over minutes, because demand returns to
 * its peak after a quiet time.
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
