/**
 * Time constant of the demand average in milliseconds. The demand rotates
 * within seconds to minutes; a move takes minutes, so it follows the average.
 */
export const DEMAND_TIME_CONSTANT_MS = 900_000;

/** Long-term demand of a pool. */
export type DemandEstimate = {
  /** Average number of hosts that the work of the pool keeps busy. */
  hosts: number;
  updatedAtMs: number;
  /** Time observed so far in milliseconds, up to the time constant. */
  observedMs: number;
};

/** One observation of the load of a pool. */
export type LoadObservation = {
  /** Busy hosts: arrivals per second x run time / slots of a host. */
  hosts: number;
  atMs: number;
};

/**
 * Returns the estimate after one more observation. Until the time constant has
 * passed it is the plain mean, so the first observation does not dominate.
 *
 * @example
 * ```ts
 * const next = observeDemand(estimate, { hosts: 4.2, atMs: Date.now() });
 * ```
 */
export function observeDemand(
  estimate: DemandEstimate | undefined,
  { hosts, atMs }: LoadObservation,
): DemandEstimate {
  if (estimate === undefined) {
    return { hosts, updatedAtMs: atMs, observedMs: 0 };
  }
  const elapsedMs = Math.max(0, atMs - estimate.updatedAtMs);
  const observedMs = estimate.observedMs + elapsedMs;
  const weight = observedMs < DEMAND_TIME_CONSTANT_MS
    ? elapsedMs / Math.max(1, observedMs)
    : 1 - Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
  return {
    hosts: estimate.hosts + weight * (hosts - estimate.hosts),
    updatedAtMs: atMs,
    observedMs: Math.min(observedMs, DEMAND_TIME_CONSTANT_MS),
  };
}
