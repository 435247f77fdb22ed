/**
 * Generates object sets of fleets of any size for simulations.
 *
 * @module
 */

import { type Host, ObjectSet, type Wave } from "@lagoonloom/objects";

const HOSTS_PER_RACK = 4;

/** Size and layout of a fleet. */
export type FleetShape = {
  /** Data centres over which the hosts are distributed in turn. */
  dataCentres: readonly { name: string; region: string }[];
  /** Number of hosts by pool. */
  pools: Readonly<Record<string, number>>;
  /** Pool that has no service of its own and takes the others' overflow. */
  sparePool: string;
  /** Budget of each service: percentage of its pool that stays available. */
  minAvailablePercent: number;
  /** Budget of each service: hosts of a rack that may be out at once. */
  maxOutPerRack: number;
  /** Cores of each host. */
  cores: number;
  /** Memory of each host in GB. */
  memoryGb: number;
  /** Total number of accelerators, spread evenly over the hosts. */
  accelerators?: number;
  teams?: number;
  waves?: Readonly<Record<string, Partial<Wave>>>;
};

/**
 * Creates the object set of a fleet: one service with a budget per pool except
 * the spare one, and hosts spread over the data centres, four to a rack.
 *
 * @example
 * ```ts
 * const set = createFleetSet(shape);
 * ```
 */
export function createFleetSet(shape: FleetShape): ObjectSet {
  const names = Object.keys(shape.pools);
  const poolsWithService = names.filter((name) => name !== shape.sparePool);
  const teams = Object.fromEntries(
    Array.from({ length: shape.teams ?? 1 }, (_, index) => [
      `team-${index + 1}`,
      createQuota(shape),
    ]),
  );
  return ObjectSet.parse({
    pools: Object.fromEntries(
      names.map((name) => [name, { spare: name === shape.sparePool }]),
    ),
    hosts: createHosts(shape),
    services: Object.fromEntries(
      poolsWithService.map((name) => [name, {
        pool: name,
        overflow: [shape.sparePool],
        run_time_ms: 50,
      }]),
    ),
    budgets: Object.fromEntries(
      poolsWithService.map((name) => [name, {
        service: name,
        min_available_percent: shape.minAvailablePercent,
        max_out_per_rack: shape.maxOutPerRack,
      }]),
    ),
    waves: Object.fromEntries(
      Object.entries(shape.waves ?? {}).map(([name, wave]) => [
        name,
        { pools: names, outage_s: 300, state: "active", ...wave },
      ]),
    ),
    teams,
  });
}

/** Creates the quota of a team. All quotas add up to half of the fleet. */
function createQuota(shape: FleetShape) {
  const hosts = Object.values(shape.pools).reduce((sum, it) => sum + it, 0);
  const share = hosts / (2 * (shape.teams ?? 1));
  return {
    quota_cores: Math.floor(share * shape.cores),
    quota_memory_gb: Math.floor(share * shape.memoryGb),
  };
}

function createHosts(shape: FleetShape): Record<string, Partial<Host>> {
  const hosts: Record<string, Partial<Host>> = {};
  const total = Object.values(shape.pools).reduce((sum, it) => sum + it, 0);
  const hostsPerDataCentre = shape.dataCentres.map(() => 0);
  let index = 0;
  for (const [pool, count] of Object.entries(shape.pools)) {
    for (let number = 1; number <= count; number++) {
      const dataCentreIndex = index % shape.dataCentres.length;
      const { name, region } = shape.dataCentres[dataCentreIndex]!;
      const rack =
        Math.floor(hostsPerDataCentre[dataCentreIndex]! / HOSTS_PER_RACK) + 1;
      hostsPerDataCentre[dataCentreIndex]!++;
      hosts[`${pool}-${number}`] = {
        pool,
        region,
        data_centre: name,
        rack: `rack-${rack}`,
        address: `127.0.0.1:${10_000 + index}`,
        cores: shape.cores,
        memory_gb: shape.memoryGb,
        accelerators: partOfTotal(shape.accelerators ?? 0, { index, total }),
      };
      index++;
    }
  }
  return hosts;
}

/** Splits an amount over several positions; returns the part of one of them. */
function partOfTotal(
  amount: number,
  at: { index: number; total: number },
): number {
  const cumulative = (index: number) => Math.floor(amount * index / at.total);
  return cumulative(at.index + 1) - cumulative(at.index);
}
