import type { ExecutorHealth } from "./executor_health.ts";

/** Options of {@linkcode ejectOutliers}. */
export type EjectOptions = {
  nowMs: number;
  /** Executors of the whole pool; by default those that are passed. */
  poolSize?: number;
};

/** Fewest requests before an executor may be ejected. */
const MIN_SAMPLES = 6;

/** Failure rate above that of the pool from which an executor is ejected. */
const FAILURE_MARGIN = 0.4;

/** Run time relative to the pool from which an executor is ejected. */
const SLOW_RATIO = 3;

/** Share of a pool that may be out at a time. */
const MAX_EJECTED_SHARE = 1 / 3;

/**
 * Ejects executors that fail more or run slower than the rest of their pool.
 * The comparison is with the median of the others, so that a fault common to
 * the whole pool ejects none. At most a third of the pool is out, and never the
 * last executor in use.
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
  let out = pool.filter((health) => health.state !== "in-use").length;
  let count = 0;
  for (const health of pool) {
    if (out >= limit) break;
    if (health.state !== "in-use" || !isOutlier(health, pool)) continue;
    health.state = "ejected";
    health.probeAtMs = options.nowMs + health.probeDelayMs;
    out++;
    count++;
  }
  return count;
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
  const failures = median(others.map((other) => other.failureRate));
  const runTime = median(others.map((other) => other.relativeRunTime));
  return health.failureRate > failures + FAILURE_MARGIN ||
    health.relativeRunTime > runTime * SLOW_RATIO;
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[values.length >> 1]!;
}
