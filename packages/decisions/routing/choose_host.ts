import type { ExecutorHealth } from "./executor_health.ts";

/** Executor with a free slot. */
export type HostCandidate = {
  name: string;
  health: ExecutorHealth;
  /** Slots in use by this entry host. */
  slotsInUse: number;
  /** Slots that this entry host may use. */
  slots: number;
};

/**
 * Tells whether an executor may be given a request now. An ejected executor is
 * given one request as a probe when its delay has passed.
 *
 * @example
 * ```ts
 * const open = hosts.filter((host) => isHostAvailable(host.health, nowMs));
 * ```
 */
export function isHostAvailable(
  health: ExecutorHealth,
  nowMs: number,
): boolean {
  return health.state === "in-use" ||
    (health.state === "ejected" && nowMs >= health.probeAtMs);
}

/**
 * Chooses the executor with the least load by outstanding requests and average
 * run time. The first candidate wins a tie.
 *
 * @example
 * ```ts
 * const host = chooseHost(candidates);
 * ```
 */
export function chooseHost<T extends HostCandidate>(
  candidates: readonly T[],
): T | undefined {
  let best: T | undefined;
  let bestLoad = Infinity;
  for (const candidate of candidates) {
    const load = estimateLoad(candidate);
    if (load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  return best;
}

function estimateLoad(candidate: HostCandidate): number {
  const { slotsInUse: busy, slots, health } = candidate;
  // A due probe goes first; otherwise a pool with free slots never probes.
  if (health.state === "ejected") return 0;
  const outstanding = (busy + 1) / Math.max(1, slots);
  // A recent failure counts like a longer run time, so that an executor that
  // fails is used last even while the ejection limit keeps it in the pool.
  return outstanding * health.relativeRunTime * (1 + 10 * health.failureRate);
}
