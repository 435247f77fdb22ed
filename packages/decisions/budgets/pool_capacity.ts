import type { FleetState } from "../fold/fleet_state.ts";
import { own } from "../fold/internal/outcomes.ts";
import {
  type BudgetLimit,
  type PoolLimits,
  poolLimits,
  requiredHosts,
} from "./pool_limits.ts";

/** Hosts of a pool in one rack or data centre. */
export type FailureDomainCapacity = {
  total: number;
  available: number;
  /** Hosts out by plan. */
  planned: number;
};

/** Hosts of a pool with what its budgets demand of them. */
export type PoolCapacity = {
  pool: string;
  total: number;
  available: number;
  /** Hosts out by plan: with a permit, or marked as leaving. */
  planned: number;
  /** Hosts that are failed or of unknown status, without a permit. */
  unplanned: number;
  required: BudgetLimit;
  limits: PoolLimits | undefined;
  racks: Map<string, FailureDomainCapacity>;
  dataCentres: Map<string, FailureDomainCapacity>;
  /** Whether the fleet allows the loss of a rack besides a planned stop. */
  reservesRack: boolean;
  /** Hosts of the fullest rack. */
  largestRackSize: number;
};

/**
 * Reports whether a host counts as available: it holds no permit, is healthy as
 * far as is known, and the set does not mark it as leaving.
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
    own(state.set.hosts, name)?.state === "in-service";
}

/** Counts by pool as of the last change of the pool's hosts. */
const capacityCache = new WeakMap<FleetState, Map<string, PoolCapacity>>();

/**
 * Counts the hosts of a pool against its budgets. The result belongs to the
 * caller. The counts are kept until the fold changes a host of the pool, since
 * each round and each permit asks for them.
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
 * Drops the kept counts of some pools, or of all if none are given. The fold
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
  // Hosts that move to the pool count already, so that its own planned stops
  // leave them the room to join.
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
 * Returns about how many hosts of a pool may be out by plan when all are
 * healthy. The limits per rack and data centre can lower it further.
 *
 * @example
 * ```ts
 * const width = maxPlannedOutages(poolCapacity(state, "orders"));
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
  const object = own(state.set.hosts, name);
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

/** Names by host, since a concatenated text has to be hashed at each use. */
const rackKeys = new WeakMap<object, string>();

/**
 * Returns the name of a host's rack, unique over data centres.
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
