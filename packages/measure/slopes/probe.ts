import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * Returns the median time in milliseconds of a call.
 *
 * @example
 * ```ts
 * const ms = medianTimeMs(() => checkObjectSet(set));
 * ```
 */
export function medianTimeMs(call: () => unknown, calls = 15): number {
  const times = Array.from({ length: calls }, () => {
    const startedAtMs = performance.now();
    call();
    return performance.now() - startedAtMs;
  });
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)]!;
}

/**
 * Returns the memory in bytes that the result of a call keeps in use.
 *
 * @example
 * ```ts
 * const bytes = keptBytes(() => createFleetSet(shape));
 * ```
 */
export function keptBytes(call: () => unknown): number {
  const before = usedBytes();
  const kept = call();
  const after = usedBytes();
  // Keeps the result reachable until here.
  return kept === undefined ? 0 : after - before;
}

function usedBytes(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
