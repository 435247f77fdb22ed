/**
 * Free and lent slots that an entry host reports to the others.
 *
 * @module
 */

import {
  computeGuarantee,
  computeHeadroom,
  findAvailableHosts,
} from "./lending.ts";
import { countWaiting, type SchedulerState } from "./scheduler_state.ts";

/** Slots of a pool that other entry hosts may forward to. */
export type SlotReport = {
  pool: string;
  /** Free slots that a request of any service could use now. */
  free: number;
  /** Borrowed slots that return to the pool's own services if they ask. */
  lent: number;
};

/**
 * Returns the free and lent slots of each pool, which heartbeats carry to the
 * other entry hosts.
 *
 * @example
 * ```ts
 * const reports = reportSlots(state, performance.now());
 * ```
 */
export function reportSlots(
  state: SchedulerState,
  nowMs: number,
): SlotReport[] {
  return [...state.pools.values()].map((pool) => {
    let free = 0;
    for (const host of findAvailableHosts(pool, nowMs)) {
      // An ejected host may get a single probe, but no forwarded requests.
      free += host.health.state === "in-use" ? host.free.length : 0;
    }
    let lent = 0;
    for (const owner of pool.owners) {
      const running = owner.runningByPool.get(pool.name) ?? 0;
      const unused = computeGuarantee(pool, owner) - running;
      lent += Math.max(0, Math.floor(unused) - countWaiting(owner));
    }
    const lendable = free - computeHeadroom(pool, nowMs);
    return { pool: pool.name, free: Math.max(0, lendable), lent };
  });
}

/**
 * Returns the number of free slots beyond the headroom by pool, which forwarded
 * requests of any service may use now.
 *
 * @example
 * ```ts
 * const free = countLendableSlots(state, performance.now());
 * ```
 */
export function countLendableSlots(
  state: SchedulerState,
  nowMs: number,
): Map<string, number> {
  const reports = reportSlots(state, nowMs);
  return new Map(reports.map(({ pool, free }) => [pool, free]));
}
