/**
 * Counts and lookups that the checks of an object set share.
 *
 * @module
 */

import type { Budget } from "./budget.ts";
import type { Host } from "./host.ts";
import type { ObjectSet } from "./object_set.ts";

/** Number of hosts of a pool, and its budgets. */
export type PoolIndex = {
  hosts: number;
  /** Number of hosts by data centre and rack. */
  racks: Map<string, number>;
  /** Number of hosts by data centre. */
  dataCentres: Map<string, number>;
  /** Budgets of the services whose home pool it is. */
  budgets: Budget[];
};

/** Counts and lookups for a set. */
export type FleetIndex = {
  /** Hosts in the order of their names. */
  hosts: [name: string, host: Host][];
  pools: Map<string, PoolIndex>;
  /** Total capacity of all hosts. */
  capacity: { cores: number; memory_gb: number; accelerators: number };
};

const NO_HOSTS: PoolIndex = {
  hosts: 0,
  racks: new Map(),
  dataCentres: new Map(),
  budgets: [],
};

/** Returns the objects of a kind in the order of their names. */
export function sortedEntries<Value>(objects: Record<string, Value>) {
  const names = Object.keys(objects).sort();
  return names.map((name): [string, Value] => [name, objects[name]!]);
}

/** Returns the entry of a pool; an unknown pool has no hosts. */
export function poolOf(index: FleetIndex, pool: string) {
  return index.pools.get(pool) ?? NO_HOSTS;
}

/** Creates the index of a set. */
export function createFleetIndex(set: ObjectSet): FleetIndex {
  const hosts = sortedEntries(set.hosts);
  const pools = new Map<string, PoolIndex>();
  const get = (name: string) => {
    let pool = pools.get(name);
    if (pool === undefined) {
      pool = {
        hosts: 0,
        racks: new Map(),
        dataCentres: new Map(),
        budgets: [],
      };
      pools.set(name, pool);
    }
    return pool;
  };
  const capacity = { cores: 0, memory_gb: 0, accelerators: 0 };
  for (const [, host] of hosts) {
    capacity.cores += host.cores;
    capacity.memory_gb += host.memory_gb;
    capacity.accelerators += host.accelerators;
    const pool = get(host.pool);
    const rack = `${host.data_centre} ${host.rack}`;
    pool.hosts += 1;
    pool.racks.set(rack, (pool.racks.get(rack) ?? 0) + 1);
    pool.dataCentres.set(
      host.data_centre,
      (pool.dataCentres.get(host.data_centre) ?? 0) + 1,
    );
  }
  for (const [, budget] of sortedEntries(set.budgets)) {
    if (!Object.hasOwn(set.services, budget.service)) continue;
    get(set.services[budget.service]!.pool).budgets.push(budget);
  }
  return { hosts, pools, capacity };
}
