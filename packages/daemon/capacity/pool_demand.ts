/**
 * Estimates of the demand of pools from the free slots of entry hosts.
 *
 * @module
 */

import {
  type DemandEstimate,
  type FleetState,
  observeDemand,
  type PoolImbalance,
  type SlotReport,
  trackShortages,
  trackSurpluses,
} from "@lagoonloom/decisions";
import type { PeerLinks } from "../peer_links.ts";

/** Options of {@linkcode createPoolDemand}. */
export type PoolDemandOptions = {
  name: string;
  links: () => PeerLinks;
  /** Returns the free and lent slots of this entry host by pool. */
  reportSlots: () => Iterable<SlotReport>;
};

/** Estimates of the long-term demand of the pools. */
export type PoolDemand = {
  /** Takes one sample, unless the free slots of a member are unknown. */
  observe(state: FleetState, logNowMs: number): void;
  /** Returns the estimated number of busy hosts by pool. */
  hostsByPool(): ReadonlyMap<string, number>;
  /** Returns the pools that need more hosts, and since when. */
  shortages(): readonly PoolImbalance[];
  /** Returns the pools that could return hosts, and since when. */
  surpluses(): readonly PoolImbalance[];
};

/**
 * Creates the estimates of the pools' demand, from the free slots that the
 * entry hosts report. No sample is taken while the report of an entry host is
 * missing, since its slots would count as busy.
 *
 * @example
 * ```ts
 * const demand = createPoolDemand(options);
 * demand.observe(state, Date.now());
 * ```
 */
export function createPoolDemand(options: PoolDemandOptions): PoolDemand {
  const estimates = new Map<string, DemandEstimate>();
  let shortages: PoolImbalance[] = [];
  let surpluses: PoolImbalance[] = [];
  const hostsByPool = () =>
    new Map([...estimates].map(([pool, estimate]) => [pool, estimate.hosts]));

  function freeByPool(state: FleetState): Map<string, number> | undefined {
    const free = new Map<string, number>();
    addSlotReports(free, options.reportSlots());
    const nowMs = performance.now();
    for (const name of state.members.keys()) {
      if (name === options.name) continue;
      const link = options.links().find(name);
      if (link === undefined || !options.links().isReachable(link, nowMs)) {
        return undefined;
      }
      addSlotReports(free, link.freeSlots.values());
    }
    return free;
  }

  return {
    observe(state, logNowMs) {
      const free = freeByPool(state);
      if (free === undefined) return;
      for (const [pool, { slots, hosts: count }] of slotsByPool(state)) {
        const busySlots = Math.max(0, slots - (free.get(pool) ?? 0));
        const load = { hosts: count * busySlots / slots, atMs: logNowMs };
        estimates.set(pool, observeDemand(estimates.get(pool), load));
      }
      for (const pool of estimates.keys()) {
        if (state.set.pools[pool] === undefined) estimates.delete(pool);
      }
      const options = { demand: hostsByPool(), nowMs: logNowMs };
      shortages = trackShortages(state, shortages, options);
      surpluses = trackSurpluses(state, surpluses, options);
    },
    hostsByPool,
    shortages: () => shortages,
    surpluses: () => surpluses,
  };
}

/** Adds the free and lent slots, none of which are demand of their own pool. */
function addSlotReports(
  counts: Map<string, number>,
  reports: Iterable<SlotReport>,
): void {
  for (const { pool, free, lent } of reports) {
    counts.set(pool, (counts.get(pool) ?? 0) + free + lent);
  }
}

/** Returns the number of slots and hosts in service by pool. */
function slotsByPool(state: FleetState) {
  const pools = new Map<string, { slots: number; hosts: number }>();
  for (const [name, host] of state.hosts) {
    const object = state.set.hosts[name];
    if (object?.state !== "in-service" || host.permit !== undefined) continue;
    const pool = pools.get(host.owner) ?? { slots: 0, hosts: 0 };
    pool.slots += object.slots;
    pool.hosts++;
    pools.set(host.owner, pool);
  }
  return pools;
}
