/**
 * Health of an executor as its finished requests show it.
 *
 * @module
 */

/** Failures and run times of one executor, and whether it is ejected. */
export type ExecutorHealth = {
  /** Finished requests since the last reset. */
  samples: number;
  /** Moving average of failures, from 0 to 1. */
  failureRate: number;
  /** Moving average of run times relative to the service's mean. */
  relativeRunTime: number;
  /** Probing while the one request to an ejected executor is outstanding. */
  state: "in-use" | "ejected" | "probing";
  /** Monotonic time in milliseconds of the next probe while ejected. */
  probeAtMs: number;
  /** Delay in milliseconds before a probe; it doubles if the probe fails. */
  probeDelayMs: number;
};

/** First delay in milliseconds before a probe of an ejected executor. */
export const FIRST_PROBE_DELAY_MS = 1_000;

/** Longest delay in milliseconds between two probes. */
export const MAX_PROBE_DELAY_MS = 30_000;

/**
 * Creates the health of an executor without finished requests.
 *
 * @example
 * ```ts
 * const health = createExecutorHealth();
 * ```
 */
export function createExecutorHealth(): ExecutorHealth {
  return {
    samples: 0,
    failureRate: 0,
    relativeRunTime: 1,
    state: "in-use",
    probeAtMs: 0,
    probeDelayMs: FIRST_PROBE_DELAY_MS,
  };
}
