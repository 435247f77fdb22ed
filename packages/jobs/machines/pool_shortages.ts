/**
 * Pools that have fewer machines than their demand needs.
 *
 * @module
 */

import type { Machine } from "../fleet.ts";
import type { ServiceDemand } from "./partition_report.ts";

/** Share of a pool's processor time in use above which it needs machines. */
const TARGET_LOAD = 0.7;

/** Smallest shortage for which a machine is moved, in machines. */
const MIN_SHORTAGE_MACHINES = 0.5;

/** Machines of all pools and the demand for them. */
export type PoolState = {
  machines: readonly Machine[];
  /** Destination pool of each machine that is being moved. */
  destinations: ReadonlyMap<string, string>;
  /** Demand by service, which is also the name of its pool. */
  demand: ReadonlyMap<string, ServiceDemand>;
  /** Processor time of a typical machine, in thousandths of a core. */
  machineCpu: number;
};

/** Pool that has too few machines, those on their way included. */
export type Shortage = {
  pool: string;
  /** Machines of the pool and on their way to it. */
  size: number;
  /** Machines that it lacks. */
  missing: number;
  /** Demand in thousandths of a core. */
  cpu: number;
};

/** Returns the number of machines of each pool that may run tasks. */
export function countUsable(machines: readonly Machine[]): Map<string, number> {
  const sizes = new Map<string, number>();
  for (const { pool, state } of machines) {
    if (state === "up") sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
  }
  return sizes;
}

/** Returns the pools that lack machines, the largest shortage first. */
export function findShortages(state: PoolState): Shortage[] {
  const sizes = countUsable(state.machines);
  const shortages: Shortage[] = [];
  for (const entry of state.demand.values()) {
    const { service, lastingCpu, runningCpu, waitingCpu } = entry;
    let size = sizes.get(service) ?? 0;
    for (const pool of state.destinations.values()) {
      if (pool === service) size++;
    }
    const cpu = lastingCpu + runningCpu + waitingCpu;
    const wanted = cpu / (TARGET_LOAD * state.machineCpu);
    const missing = Math.max(wanted, entry.leastExecutors) - size;
    if (missing < MIN_SHORTAGE_MACHINES) continue;
    shortages.push({ pool: service, size, missing: Math.ceil(missing), cpu });
  }
  return shortages.sort((a, b) => b.missing - a.missing);
}
