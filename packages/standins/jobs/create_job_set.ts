/**
 * Generates object sets of fleets with workers for simulations of jobs.
 *
 * @module
 */

import type { ObjectSet } from "@lagoonloom/objects";
import { createFleetSet, type FleetShape } from "../fleet/mod.ts";

/** Port of the first worker agent; the others follow. */
const FIRST_PORT = 30_000;

/** Size and layout of a fleet whose hosts all have workers. */
export type JobSetShape =
  & Pick<FleetShape, "cores" | "memoryGb">
  & Partial<Pick<FleetShape, "accelerators" | "teams">>
  & {
    dataCentres: readonly string[];
    workers: number;
    /** Fraction of the fleet that all quotas add up to; 0.5 by default. */
    quotaShare?: number;
  };

/**
 * Creates the object set of a fleet with workers. The quotas of all teams add
 * up to a fraction of the fleet's cores and memory, and to all accelerators.
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
