/** Running estimate of the run time of a service in milliseconds. */
export type RunTimeEstimate = {
  meanMs: number;
  /** Estimate of the quantile {@linkcode RUN_TIME_QUANTILE}. */
  highMs: number;
};

/** Quantile of run time that has to fit before a request's deadline. */
export const RUN_TIME_QUANTILE = 0.9;

/** Weight of the newest run time in the mean. */
const NEWEST_WEIGHT = 0.05;

/** Step of the quantile estimate relative to its value. */
const QUANTILE_STEP = 0.05;

/**
 * Returns the estimate before any request has run, from the declared run time.
 *
 * @example
 * ```ts
 * const estimate = createRunTimeEstimate(80);
 * ```
 */
export function createRunTimeEstimate(declaredMs: number): RunTimeEstimate {
  return { meanMs: declaredMs, highMs: declaredMs * 1.5 };
}

/**
 * Adds a measured run time. The quantile follows by stochastic approximation,
 * so that no samples are kept.
 *
 * @example
 * ```ts
 * addRunTime(estimate, 93);
 * ```
 */
export function addRunTime(estimate: RunTimeEstimate, runMs: number): void {
  estimate.meanMs += NEWEST_WEIGHT * (runMs - estimate.meanMs);
  const step = runMs > estimate.highMs
    ? RUN_TIME_QUANTILE
    : RUN_TIME_QUANTILE - 1;
  estimate.highMs = Math.max(0.1, estimate.highMs * (1 + QUANTILE_STEP * step));
}
