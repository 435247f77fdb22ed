/**
 * Outlier detection among the executors of a pool.
 *
 * @module
 */

import type { ExecutorHealth } from "./executor_health.ts";

/** Options of {@linkcode ejectOutliers}. */
export type EjectOptions = {
  nowMs: number;
  /**
   * Executors of the whole pool, to which the limit on ejections applies; by
   * default the number of those passed.
   */
  poolSize?: number;
};

/** Finished requests after which an executor may be ejected. */
const MIN_SAMPLES = 6;

/** Excess over the median failure rate at which an executor is ejected. */
const FAILURE_MARGIN = 0.4;

/** Multiple of the median run time at which an executor is ejected. */
const SLOW_RATIO = 3;

/** Share of a pool that may be ejected at a time. */
const MAX_EJECTED_SHARE = 1 / 3;

/**
 * Ejects executors that fail more often or run slower than the rest of their
 * pool. Compares each with the median of the others, so that a fault of the
 * whole pool ejects none. At most a third of the pool is ejected at a time, and
 * never its last executor in use.
 *
 * @example
 * ```ts
 * const ejected = ejectOutliers(healths, { nowMs: performance.now() });
 * ```
 *
 * @returns Number of executors that were ejected by this call.
 */
export function ejectOutliers(
  pool: readonly ExecutorHealth[],
  options: EjectOptions,
): number {
  const size = options.poolSize ?? pool.length;
  const limit = Math.min(
    pool.length - 1,
    Math.floor(size * MAX_EJECTED_SHARE + 1e-9),
  );
  let notInUse = pool.filter((health) => health.state !== "in-use").length;
  let newlyEjected = 0;
  for (const health of pool) {
    if (notInUse >= limit) break;
    if (health.state !== "in-use" || !isOutlier(health, pool)) continue;
    health.state = "ejected";
    health.probeAtMs = options.nowMs + health.probeDelayMs;
    notInUse++;
    newlyEjected++;
  }
  return newlyEjected;
}

function isOutlier(
  health: ExecutorHealth,
  pool: readonly ExecutorHealth[],
): boolean {
  if (health.samples < MIN_SAMPLES) return false;
  const others = pool.filter((other) =>
    other !== health && other.state === "in-use" && other.samples > 0
  );
  if (others.length === 0) return false;
  const medianFailureRate = median(others.map((other) => other.failureRate));
  const medianRunTime = median(others.map((other) => other.relativeRunTime));
  return health.failureRate > medianFailureRate + FAILURE_MARGIN ||
    health.relativeRunTime > medianRunTime * SLOW_RATIO;
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[values.length >> 1]!;
}
