/**
 * Fleet of real daemons without requests.
 *
 * @module
 */

import { formatObjectSet, type ObjectSet } from "@lagoonloom/objects";
import { createTestFleet } from "@lagoonloom/standins";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type FleetProcesses, startFleet, waitFor } from "../processes/mod.ts";

/** First port of the daemons; the demo and the examples use other ports. */
const FIRST_PORT = 27_000;

/** First port of the executors. */
const FIRST_EXECUTOR_PORT = 28_100;

/** Number of executors by pool in the Lakeshore deployment. */
const EXECUTORS_BY_POOL = {
  quoting: 6,
  orders: 6,
  inventory: 8,
  shipping: 9,
  backoffice: 6,
};

/** Running daemons with an object set in force. */
export type ControlFleet = {
  processes: FleetProcesses;
  /** Object set that was published first. */
  set: ObjectSet;
  /** Process ids of the daemons. */
  pids: readonly number[];
  /** Stops all processes and removes their files. */
  stop(): Promise<void>;
};

/**
 * Starts a number of daemons on the loopback interface and publishes an object
 * set. Up to nine daemons share one region with three data centres; more are
 * spread over three such regions, with executors in proportion.
 *
 * @example
 * ```ts
 * const fleet = await startControlFleet(9);
 * await fleet.stop();
 * ```
 */
export async function startControlFleet(
  daemons: number,
): Promise<ControlFleet> {
  const regions = daemons > 9 ? ["east", "south", "west"] : ["east"];
  const dataCentres = regions.flatMap((region) =>
    [1, 2, 3].map((number) => `${region}-${number}`)
  );
  const set = createObjectSet(dataCentres);
  const folder = mkdtempSync(join(tmpdir(), "lagoonloom-control-"));
  const setFile = join(folder, "fleet.ini");
  writeFileSync(setFile, formatObjectSet(set));
  const processes = startFleet({
    region: regionOf,
    dataCentres,
    daemons,
    setFile,
    runMs: 40,
    firstPort: FIRST_PORT,
  });
  const stop = async () => {
    await processes.stop();
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    await publishFirstSet(processes, set);
  } catch (error) {
    await stop();
    throw error;
  }
  const pids = processes.entryHosts.map(({ name }) =>
    processes.group.find(name)!.pid!
  );
  return { processes, set, pids, stop };
}

function regionOf(dataCentre: string): string {
  return dataCentre.split("-")[0]!;
}

/** Creates a set with the pools of Lakeshore for every three data centres. */
function createObjectSet(dataCentres: readonly string[]): ObjectSet {
  const factor = dataCentres.length / 3;
  const pools = Object.fromEntries(
    Object.entries(EXECUTORS_BY_POOL)
      .map(([name, hosts]) => [name, hosts * factor]),
  );
  const set = createTestFleet({
    dataCentres,
    pools,
    addressOf: (index) => `127.0.0.1:${FIRST_EXECUTOR_PORT + index}`,
  });
  for (const host of Object.values(set.hosts)) {
    host.region = regionOf(host.data_centre);
  }
  return set;
}

/** Waits until all daemons are ready and have the published set in force. */
async function publishFirstSet(
  processes: FleetProcesses,
  set: ObjectSet,
): Promise<void> {
  const clients = [...processes.clients.values()];
  const holdsOnAll = async (
    condition: (version: number, ready: boolean) => boolean,
  ) => {
    const statuses = await Promise.all(clients.map((it) => it.status()));
    return statuses.every((status) =>
      status.map(({ version, ready }) => condition(version, ready))
        .orDefault(false)
    );
  };
  await waitFor(() => holdsOnAll((_, ready) => ready), {
    what: "the daemons",
    timeoutMs: 60_000,
    intervalMs: 500,
  });
  const outcome = await clients[0]!.submitChange({
    publicationId: "control-0",
    expectedVersion: 0,
    operator: "ada",
    change: { put: set, removed: [] },
  });
  const type = outcome.map((it) => it.type).orDefault("unknown");
  if (type !== "accepted") {
    throw new Error(`The first object set was not accepted: ${type}.`);
  }
  await waitFor(() => holdsOnAll((version) => version === 1), {
    what: "the first set",
    timeoutMs: 10_000,
  });
}
