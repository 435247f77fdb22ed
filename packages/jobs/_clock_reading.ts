/** Reading of both clocks of this machine at one moment. */
export type ClockReading = { monotonicMs: number; unixMs: number };

/** Reads both clocks of this machine. */
export function readClocks(): ClockReading {
  return { monotonicMs: performance.now(), unixMs: Date.now() };
}

/**
 * Returns the time since a reading, in milliseconds. The monotonic clock does
 * not count the time for which the machine was suspended, and the time of day
 * may be set back, so that the clock that shows more time counts.
 */
export function ageOf({ monotonicMs, unixMs }: ClockReading): number {
  return Math.max(performance.now() - monotonicMs, Date.now() - unixMs);
}
