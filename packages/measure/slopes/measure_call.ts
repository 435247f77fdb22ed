/**
 * Time and memory of a call.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * Returns the median time in milliseconds of a call.
 *
 * @example
 * ```ts
 * const ms = measureMedianMs(() => checkObjectSet(set));
 * ```
 */
export function measureMedianMs(call: () => unknown, calls = 15): number {
  const times = Array.from({ length: calls }, () => {
    const startedAtMs = performance.now();
    call();
    return performance.now() - startedAtMs;
  });
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)]!;
}

/**
 * Returns the memory in bytes that the result of a call retains.
 *
 * @example
 * ```ts
 * const bytes = measureRetainedBytes(() => createFleetSet(shape));
 * ```
 */
export function measureRetainedBytes(call: () => unknown): number {
  const before = readUsedBytes();
  const result = call();
  const after = readUsedBytes();
  // This use keeps the result reachable until the second reading.
  return result === undefined ? 0 : after - before;
}

/** Returns the bytes in use after a garbage collection. */
function readUsedBytes(): number {
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
