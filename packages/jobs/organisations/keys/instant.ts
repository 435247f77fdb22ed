/**
 * Instants on all clocks of this machine, of which none can be trusted alone.
 *
 * @module
 */

import { uptime } from "node:os";
import { type ClockReading, readClocks } from "../../_clock_reading.ts";

/** Longest time for which the boot clock follows from the monotonic one. */
const MAX_DERIVED_MS = 100;

const MS_PER_SECOND = 1_000;

/** Difference of two clocks that counts as none. */
const TOLERANCE_MS = 5;

/** Reading of all clocks of this machine at one moment. */
export type Instant = ClockReading & {
  /** Time since the boot, which also counts suspensions of the machine. */
  bootMs: number;
};

/** Clocks of a machine. */
export type Clocks = {
  read(): ClockReading;
  /** Returns the time since the boot; 0 where there is no such clock. */
  readBootMs(): number;
};

/**
 * Creates a function that reads all clocks. The boot clock costs a read of a
 * file, so that it is derived from the monotonic one for a short time while the
 * time of day agrees with it.
 */
export function createInstantReader(
  { read, readBootMs }: Clocks,
): () => Instant {
  let lastRead: Instant | undefined;
  return () => {
    const clocks = read();
    const passedMs = lastRead && clocks.monotonicMs - lastRead.monotonicMs;
    if (passedMs !== undefined && passedMs >= 0 && passedMs < MAX_DERIVED_MS) {
      const unixPassedMs = clocks.unixMs - lastRead!.unixMs;
      if (Math.abs(unixPassedMs - passedMs) < TOLERANCE_MS) {
        return { ...clocks, bootMs: lastRead!.bootMs + passedMs };
      }
    }
    lastRead = { ...clocks, bootMs: readBootMs() };
    return lastRead;
  };
}

/**
 * Reads all clocks of this machine.
 *
 * @example
 * ```ts
 * const sentAt = readInstant();
 * const ageMs = ageOfInstant(sentAt);
 * ```
 */
export const readInstant = createInstantReader({
  read: readClocks,
  readBootMs() {
    try {
      return uptime() * MS_PER_SECOND;
    } catch {
      return 0;
    }
  },
});

/**
 * Returns the time between two instants, in milliseconds. The monotonic clock
 * does not count suspensions, the boot clock may be missing, and the time of
 * day may be set back, so that the clock that shows most time counts.
 */
export function elapsedMs(from: Instant, to: Instant): number {
  return Math.max(
    to.monotonicMs - from.monotonicMs,
    to.unixMs - from.unixMs,
    to.bootMs - from.bootMs,
  );
}

/** Returns the time since an instant, in milliseconds. */
export function ageOfInstant(instant: Instant): number {
  return elapsedMs(instant, readInstant());
}

/** Returns the instant that is some time earlier on all clocks. */
export function earlierBy(instant: Instant, ms: number): Instant {
  return {
    monotonicMs: instant.monotonicMs - ms,
    unixMs: instant.unixMs - ms,
    bootMs: instant.bootMs - ms,
  };
}
