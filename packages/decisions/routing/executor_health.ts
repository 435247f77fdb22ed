/** Evidence about one executor, collected from its finished requests. */
export type ExecutorHealth = {
  /** Finished requests since the evidence was last cleared. */
  samples: number;
  /** Moving average of failures, from 0 to 1. */
  failureRate: number;
  /** Moving average of run time relative to the service's mean. */
  relativeRunTime: number;
  state: "in-use" | "ejected" | "probing";
  /** Monotonic time in milliseconds of the next probe while ejected. */
  probeAtMs: number;
  /** Delay in milliseconds before the next probe after a failed one. */
  probeDelayMs: number;
};

/** First delay in milliseconds before a probe of an ejected executor. */
export const FIRST_PROBE_DELAY_MS = 1_000;

/** Longest delay in milliseconds between two probes. */
export const MAX_PROBE_DELAY_MS = 30_000;

/**
 * Returns the health of an executor of which nothing is known.
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
