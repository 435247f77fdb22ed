/**
 * Chooses the executor that gets a request.
 *
 * @module
 */

import type { ExecutorHealth } from "./executor_health.ts";

/** Executor with a free slot that may get a request. */
export type HostCandidate = {
  name: string;
  health: ExecutorHealth;
  /** Slots of the executor that this entry host uses now. */
  slotsInUse: number;
  /** Slots of the executor that this entry host may use. */
  slots: number;
};

/**
 * Returns whether an executor may get a request now. An ejected executor gets a
 * single request as a probe once its probe delay has passed.
 *
 * @example
 * ```ts
 * if (isHostAvailable(host.health, nowMs)) candidates.push(host);
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
 * Chooses the executor with the least load, by outstanding requests, relative
 * run time and failure rate. The first candidate wins a tie.
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
  // A due probe goes first: in a pool with other free slots it would otherwise
  // never be sent.
  if (health.state === "ejected") return 0;
  const outstanding = (busy + 1) / Math.max(1, slots);
  // Failures count like a longer run time, so that a failing executor is chosen
  // last even while the ejection limit keeps it in the pool.
  return outstanding * health.relativeRunTime * (1 + 10 * health.failureRate);
}
