/**
 * Counts the hosts of a pool against its budgets.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import {
  type BudgetLimit,
  type PoolLimits,
  poolLimits,
  requiredHosts,
} from "./pool_limits.ts";

/** Numbers of a pool's hosts in one rack or data centre. */
export type FailureDomainCapacity = {
  total: number;
  available: number;
  /** Hosts in a planned outage: with a permit, or marked as leaving. */
  planned: number;
};

/** Numbers of a pool's hosts, with the limits that its budgets set. */
export type PoolCapacity = {
  pool: string;
  total: number;
  available: number;
  /** Hosts in a planned outage: with a permit, or marked as leaving. */
  planned: number;
  /** Hosts that failed or are silent, and hold no permit. */
  unplanned: number;
  /** Number of available hosts that the strictest budget requires. */
  required: BudgetLimit;
  limits: PoolLimits | undefined;
  racks: Map<string, FailureDomainCapacity>;
  dataCentres: Map<string, FailureDomainCapacity>;
  /**
   * Whether planned outages have to leave enough hosts for the loss of a rack.
   * False if the pool is too small to lose its largest rack at all.
   */
  reservesRack: boolean;
  /** Number of hosts in the largest rack. */
  largestRackSize: number;
};

/**
 * Returns whether a host counts as available: it holds no permit, was last
 * observed in service, and the set does not mark it as leaving.
 *
 * @example
 * ```ts
 * const available = isAvailable(state, "host-1");
 * ```
 */
export function isAvailable(state: FleetState, name: string): boolean {
  const host = state.hosts.get(name);
  return host !== undefined && host.permit === undefined &&
    host.health === "in-service" &&
    getOwn(state.set.hosts, name)?.state === "in-service";
}

/** Capacities by pool, valid until a host of the pool changes. */
const capacityCache = new WeakMap<FleetState, Map<string, PoolCapacity>>();

/**
 * Counts the hosts of a pool against its budgets. Returns a copy, which the
 * caller may change. The counts are cached until the fold changes a host of the
 * pool, since each planning round and each permit needs them.
 *
 * @example
 * ```ts
 * const { available, required } = poolCapacity(state, "orders");
 * ```
 */
export function poolCapacity(state: FleetState, pool: string): PoolCapacity {
  let capacities = capacityCache.get(state);
  if (capacities === undefined) {
    capacities = new Map();
    capacityCache.set(state, capacities);
  }
  let capacity = capacities.get(pool);
  if (capacity === undefined) {
    capacity = countPool(state, pool);
    capacities.set(pool, capacity);
  }
  return {
    ...capacity,
    racks: copyDomains(capacity.racks),
    dataCentres: copyDomains(capacity.dataCentres),
  };
}

/**
 * Removes the cached counts of some pools, or of all pools by default. The fold
 * calls it after each record that changes a host of these pools or the set.
 *
 * @example
 * ```ts
 * invalidatePoolCapacity(state, ["orders"]);
 * ```
 */
export function invalidatePoolCapacity(
  state: FleetState,
  pools?: readonly string[],
): void {
  if (pools === undefined) capacityCache.delete(state);
  const capacities = capacityCache.get(state);
  for (const pool of pools ?? []) capacities?.delete(pool);
}

function copyDomains(
  places: Map<string, FailureDomainCapacity>,
): Map<string, FailureDomainCapacity> {
  const copy = new Map<string, FailureDomainCapacity>();
  for (const [name, { total, available, planned }] of places) {
    copy.set(name, { total, available, planned });
  }
  return copy;
}

function countPool(state: FleetState, pool: string): PoolCapacity {
  const names = state.hostsByPool.get(pool) ?? new Set();
  // Includes hosts that are moving to the pool. A budget in percent requires
  // more hosts once they join, and planned outages have to leave those.
  const size = names.size + (state.incomingByPool.get(pool) ?? 0);
  const limits = poolLimits(state.set).get(pool);
  const capacity: PoolCapacity = {
    pool,
    total: names.size,
    available: 0,
    planned: 0,
    unplanned: 0,
    required: requiredHosts(limits, size),
    limits,
    racks: new Map(),
    dataCentres: new Map(),
    reservesRack: false,
    largestRackSize: 0,
  };
  for (const name of names) countHost(state, capacity, name);
  for (const { total } of capacity.racks.values()) {
    capacity.largestRackSize = Math.max(capacity.largestRackSize, total);
  }
  capacity.reservesRack =
    capacity.total - capacity.largestRackSize > capacity.required.value;
  return capacity;
}

/**
 * Returns the approximate number of hosts of a pool that may be in a planned
 * outage while all others are healthy. Limits per rack and data centre may
 * lower it further.
 *
 * @example
 * ```ts
 * const batchSize = maxPlannedOutages(poolCapacity(state, "orders"));
 * ```
 */
export function maxPlannedOutages(capacity: PoolCapacity): number {
  const { total, required, reservesRack, largestRackSize: largestRack } =
    capacity;
  return Math.max(0, total - required.value - (reservesRack ? largestRack : 0));
}

function countHost(
  state: FleetState,
  capacity: PoolCapacity,
  name: string,
): void {
  const host = state.hosts.get(name);
  const object = getOwn(state.set.hosts, name);
  if (host === undefined || object === undefined) return;
  const isPlanned = host.permit !== undefined || object.state === "leaving";
  const available = isAvailable(state, name) ? 1 : 0;
  capacity.available += available;
  if (isPlanned) capacity.planned++;
  else if (available === 0) capacity.unplanned++;
  const places = [
    getDomain(capacity.racks, rackKey(object)),
    getDomain(capacity.dataCentres, object.data_centre),
  ];
  for (const place of places) {
    place.total++;
    place.available += available;
    if (isPlanned) place.planned++;
  }
}

/**
 * Rack names by host. A concatenated string would be hashed at each map lookup,
 * while the hash of a cached one is kept.
 */
const rackKeys = new WeakMap<object, string>();

/**
 * Returns a name of a host's rack that is unique over all data centres.
 *
 * @example
 * ```ts
 * const key = rackKey({ data_centre: "detroit", rack: "r1" });
 * ```
 */
export function rackKey(host: { data_centre: string; rack: string }): string {
  let key = rackKeys.get(host);
  if (key === undefined) {
    key = `${host.data_centre}/${host.rack}`;
    rackKeys.set(host, key);
  }
  return key;
}

function getDomain(
  places: Map<string, FailureDomainCapacity>,
  name: string,
): FailureDomainCapacity {
  let place = places.get(name);
  if (place === undefined) {
    place = { total: 0, available: 0, planned: 0 };
    places.set(name, place);
  }
  return place;
}
