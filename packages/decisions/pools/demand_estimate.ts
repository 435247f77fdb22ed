/**
 * Time constant of each of the two averages in milliseconds. The demand rotates
 * within seconds to minutes; a move takes minutes, so it follows the average.
 * Two averages in a row of 300 s leave far less of a rotation of 100 s than one
 * of 600 s with the same delay.
 */
export const DEMAND_TIME_CONSTANT_MS = 300_000;

/** Long-term demand of a pool. */
export type DemandEstimate = {
  /** Average number of hosts that the work of the pool keeps busy. */
  hosts: number;
  /** First average, of which `hosts` is the second. */
  recentHosts: number;
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
    return { hosts, recentHosts: hosts, updatedAtMs: atMs, observedMs: 0 };
  }
  const elapsedMs = Math.max(0, atMs - estimate.updatedAtMs);
  const observedMs = estimate.observedMs + elapsedMs;
  const weight = observedMs < DEMAND_TIME_CONSTANT_MS
    ? elapsedMs / Math.max(1, observedMs)
    : 1 - Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
  const recentHosts = estimate.recentHosts +
    weight * (hosts - estimate.recentHosts);
  return {
    hosts: estimate.hosts + weight * (recentHosts - estimate.hosts),
    recentHosts,
    updatedAtMs: atMs,
    observedMs: Math.min(observedMs, DEMAND_TIME_CONSTANT_MS),
  };
}
