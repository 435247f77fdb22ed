import { type Host, ObjectSet, type Wave } from "@lagoonloom/objects";

/** Hosts of a rack. */
const HOSTS_PER_RACK = 4;

/** Shape of a fleet. */
export type FleetShape = {
  /** Data centres with their region. */
  dataCentres: readonly { name: string; region: string }[];
  /** Hosts by pool. */
  pools: Readonly<Record<string, number>>;
  sparePool: string;
  /** Budget of each service: available share of the home pool in percent. */
  minAvailablePercent: number;
  maxOutPerRack: number;
  cores: number;
  memoryGb: number;
  /** Accelerators of the fleet, spread over its hosts. */
  accelerators?: number;
  teams?: number;
  waves?: Readonly<Record<string, Partial<Wave>>>;
};

/**
 * Creates the set of a fleet: one service with a budget per pool, hosts spread
 * over the data centres, four to a rack.
 *
 * @example
 * ```ts
 * const set = createFleetSet(shape);
 * ```
 */
export function createFleetSet(shape: FleetShape): ObjectSet {
  const names = Object.keys(shape.pools);
  const served = names.filter((name) => name !== shape.sparePool);
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
      served.map((name) => [name, {
        pool: name,
        overflow: [shape.sparePool],
        run_time_ms: 50,
      }]),
    ),
    budgets: Object.fromEntries(
      served.map((name) => [name, {
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

/** Quota of a team; all teams together get half of the fleet. */
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
  const perDataCentre = shape.dataCentres.map(() => 0);
  let index = 0;
  for (const [pool, count] of Object.entries(shape.pools)) {
    for (let number = 1; number <= count; number++) {
      const place = index % shape.dataCentres.length;
      const { name, region } = shape.dataCentres[place]!;
      const rack = Math.floor(perDataCentre[place]! / HOSTS_PER_RACK) + 1;
      perDataCentre[place]!++;
      hosts[`${pool}-${number}`] = {
        pool,
        region,
        data_centre: name,
        rack: `rack-${rack}`,
        address: `127.0.0.1:${10_000 + index}`,
        cores: shape.cores,
        memory_gb: shape.memoryGb,
        accelerators: shareOf(shape.accelerators ?? 0, { index, total }),
      };
      index++;
    }
  }
  return hosts;
}

/** Part of a whole number that falls to one of several places. */
function shareOf(whole: number, at: { index: number; total: number }): number {
  const upTo = (index: number) => Math.floor(whole * index / at.total);
  return upTo(at.index + 1) - upTo(at.index);
}
