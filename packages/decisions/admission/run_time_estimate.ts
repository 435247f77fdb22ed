/**
 * Estimates the run time of a service's requests from recent samples.
 *
 * @module
 */

/** Estimate of the run time of a set of requests, from its samples. */
export type RunTimeEstimate = {
  /** Moving average of the run time. */
  meanMs: number;
  /** High quantile of the run time plus a margin. */
  upperBoundMs: number;
  /** Newest run times in milliseconds, oldest first. */
  recent: number[];
  /** Number of samples so far. */
  count: number;
};

/** Quantile of the run time that has to end before a request's deadline. */
export const RUN_TIME_QUANTILE = 0.9;

/**
 * Number of samples in the window. With 40, the quantile follows a jump after 5
 * samples and ignores 4 outliers. With 20, floods with short deadlines cost
 * other desks more.
 */
const WINDOW_SIZE = 40;

/** Least weight of a new sample in the mean; the first ones weigh more. */
const NEWEST_WEIGHT = 0.05;

/** Factor on the quantile that covers sampling error and delays. */
const QUANTILE_MARGIN = 1.1;

/** Factor on the declared run time that gives the first upper bound. */
const DECLARED_MARGIN = 1.5;

/**
 * Creates an estimate from the declared run time, before any sample.
 *
 * @example
 * ```ts
 * const estimate = createRunTimeEstimate(80);
 * ```
 */
export function createRunTimeEstimate(declaredMs: number): RunTimeEstimate {
  const upperBoundMs = declaredMs * DECLARED_MARGIN;
  return {
    meanMs: declaredMs,
    upperBoundMs,
    recent: new Array<number>(WINDOW_SIZE).fill(upperBoundMs / QUANTILE_MARGIN),
    count: 0,
  };
}

/**
 * Adds a measured run time. The first samples have more weight in the mean and
 * the declared run time counts as only one, since it may be far off.
 *
 * @example
 * ```ts
 * addRunTime(estimate, 93);
 * ```
 */
export function addRunTime(estimate: RunTimeEstimate, runMs: number): void {
  estimate.recent.push(runMs);
  estimate.recent.shift();
  estimate.count++;
  const weight = Math.max(NEWEST_WEIGHT, 1 / (estimate.count + 1));
  estimate.meanMs += weight * (runMs - estimate.meanMs);
  updateUpperBound(estimate, []);
}

/**
 * Raises the upper bound if the ages of the running requests, which are lower
 * bounds of their run times, show that it is too low. Some requests always run
 * longer than the quantile, so this takes more requests above the bound than
 * the quantile allows, and more than one.
 *
 * @example
 * ```ts
 * raiseByRunningAges(estimate, [120, 900, 900]);
 * ```
 */
export function raiseByRunningAges(
  estimate: RunTimeEstimate,
  agesMs: readonly number[],
): void {
  updateUpperBound(estimate, []);
  const above = agesMs.filter((ageMs) => ageMs > estimate.upperBoundMs);
  const expectedAbove = 1 + (1 - RUN_TIME_QUANTILE) * agesMs.length;
  if (above.length > expectedAbove) updateUpperBound(estimate, above);
}

function updateUpperBound(
  estimate: RunTimeEstimate,
  agesMs: readonly number[],
): void {
  // Ages displace the oldest samples, as the final run times will do.
  const samples = [...estimate.recent, ...agesMs].slice(-WINDOW_SIZE);
  estimate.upperBoundMs = QUANTILE_MARGIN * quantile(samples);
}

function quantile(samples: readonly number[]): number {
  const sorted = samples.toSorted((a, b) => a - b);
  const rank = Math.ceil(RUN_TIME_QUANTILE * sorted.length);
  return sorted[rank - 1] ?? 0;
}
