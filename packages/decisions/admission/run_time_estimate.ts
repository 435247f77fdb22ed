/** Running estimate of the run time of some requests in milliseconds. */
export type RunTimeEstimate = {
  meanMs: number;
  /** Time that a request is expected to need at most, with a margin. */
  upperBoundMs: number;
  /** Newest run times, the oldest first. */
  recent: number[];
  /** Run times so far. */
  count: number;
};

/** Quantile of run time that has to fit before a request's deadline. */
export const RUN_TIME_QUANTILE = 0.9;

/**
 * Run times that are kept. The quantile of 40 follows a jump after 5 samples
 * and is not moved by 4 outliers. Windows of 20 cost other desks more in floods
 * with short deadlines.
 */
const WINDOW_SIZE = 40;

/** Weight of the newest run time in the mean, once there are enough. */
const NEWEST_WEIGHT = 0.05;

/** Margin over the quantile, for the spread of the samples and delays. */
const QUANTILE_MARGIN = 1.1;

/** Margin over the declared run time. */
const DECLARED_MARGIN = 1.5;

/**
 * Returns the estimate before any request has run, from the declared run time.
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
 * Adds a measured run time. Declared run times may be far off, so that the
 * first samples have more weight and the declared one counts as one of them.
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
 * Raises the estimate by the ages of the running requests, which are lower
 * bounds of their run times. A few are always older than the quantile, so that
 * only more than its share, and more than one, show that it is too low.
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
  const older = agesMs.filter((ageMs) => ageMs > estimate.upperBoundMs);
  const usual = 1 + (1 - RUN_TIME_QUANTILE) * agesMs.length;
  if (older.length > usual) updateUpperBound(estimate, older);
}

function updateUpperBound(
  estimate: RunTimeEstimate,
  agesMs: readonly number[],
): void {
  // Ages replace the oldest samples, as the run times will do.
  const samples = [...estimate.recent, ...agesMs].slice(-WINDOW_SIZE);
  estimate.upperBoundMs = QUANTILE_MARGIN * quantile(samples);
}

function quantile(samples: readonly number[]): number {
  const sorted = samples.toSorted((a, b) => a - b);
  const rank = Math.ceil(RUN_TIME_QUANTILE * sorted.length);
  return sorted[rank - 1] ?? 0;
}
