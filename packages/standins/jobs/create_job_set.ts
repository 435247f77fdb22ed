import type { ObjectSet } from "@lagoonloom/objects";
import { createFleetSet, type FleetShape } from "../fleet/mod.ts";

/** First port of the worker agents. */
const FIRST_PORT = 30_000;

/** Shape of a fleet whose hosts all have workers. */
export type JobSetShape =
  & Pick<FleetShape, "cores" | "memoryGb">
  & Partial<Pick<FleetShape, "accelerators" | "teams">>
  & {
    dataCentres: readonly string[];
    workers: number;
    /** Share of the fleet that the quotas add up to; half unless given. */
    quotaShare?: number;
  };

/**
 * Creates the set of a fleet with workers. The quotas of all teams add up to a
 * share of the fleet's cores and memory, and to all of its accelerators.
 *
 * @example
 * ```ts
 * const set = createJobSet(shape);
 * ```
 */
export function createJobSet(shape: JobSetShape): ObjectSet {
  const { dataCentres, workers, quotaShare = 0.5, ...rest } = shape;
  const set = createFleetSet({
    ...rest,
    dataCentres: dataCentres.map((name) => ({ name, region: "region" })),
    pools: { main: workers, spare: 0 },
    sparePool: "spare",
    minAvailablePercent: 50,
    maxOutPerRack: 4,
  });
  for (const [index, host] of Object.values(set.hosts).entries()) {
    host.worker_address = `127.0.0.1:${FIRST_PORT + index}`;
  }
  const teams = Object.values(set.teams);
  for (const team of teams) {
    const share = quotaShare * workers / teams.length;
    team.quota_cores = Math.floor(share * shape.cores);
    team.quota_memory_gb = Math.floor(share * shape.memoryGb);
    team.quota_accelerators = Math.floor(
      (shape.accelerators ?? 0) / teams.length,
    );
  }
  return set;
}
