/**
 * Pools that have fewer machines than their demand needs.
 *
 * @module
 */

import type { Machine } from "../fleet.ts";
import { totalCpuOf } from "./demand_trend.ts";
import type { ServiceDemand } from "./partition_report.ts";

/** Share of a pool's processor time in use above which it needs machines. */
const TARGET_LOAD = 0.7;

/** Smallest shortage for which a machine is moved, in machines. */
const MIN_SHORTAGE_MACHINES = 0.5;

/** Time until a machine that is ordered now runs tasks of its new pool. */
const MOVE_LEAD_S = 2;

/** Largest multiple of the demand that is expected after this time. */
const MAX_EXPECTED_GROWTH = 2;

/** Machines of all pools and the demand for them. */
export type PoolState = {
  machines: readonly Machine[];
  /** Destination pool of each machine that is being moved. */
  destinations: ReadonlyMap<string, string>;
  /** Demand by service, which is also the name of its pool. */
  demand: ReadonlyMap<string, ServiceDemand>;
  /**
   * Returns by how many thousandths of a core the demand of a service grows in
   * a second.
   */
  growthOf(service: string): number;
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

/**
 * Returns the pools that lack machines, the largest shortage first. A pool that
 * lacks some is given as many as it will need once they have come.
 */
export function findShortages(state: PoolState): Shortage[] {
  const sizes = countUsable(state.machines);
  const shortages: Shortage[] = [];
  for (const entry of state.demand.values()) {
    const { service, leastExecutors } = entry;
    let size = sizes.get(service) ?? 0;
    for (const pool of state.destinations.values()) {
      if (pool === service) size++;
    }
    const countMissing = (cpu: number) =>
      Math.max(cpu / (TARGET_LOAD * state.machineCpu), leastExecutors) - size;
    const cpu = totalCpuOf(entry);
    if (countMissing(cpu) < MIN_SHORTAGE_MACHINES) continue;
    const expectedCpu = Math.min(
      cpu + state.growthOf(service) * MOVE_LEAD_S,
      cpu * MAX_EXPECTED_GROWTH,
    );
    const missing = Math.ceil(countMissing(expectedCpu));
    shortages.push({ pool: service, size, missing, cpu });
  }
  return shortages.sort((a, b) => b.missing - a.missing);
}
