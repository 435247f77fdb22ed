/**
 * Starts the processes of the Lakeshore example and publishes its object set.
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type FleetProcesses,
  runProgram,
  startFleet,
  waitFor,
} from "../processes/mod.ts";
import { type Load, sendRequest } from "./traffic.ts";

/** File of the Lakeshore object set; the program runs in `dist/`. */
const EXAMPLE = fileURLToPath(
  new URL("../examples/lakeshore.ini", import.meta.url),
);

/** Number of executors in the Lakeshore object set. */
const EXECUTOR_COUNT = 35;

/** Number of entry hosts, three in each data centre. */
const ENTRY_HOST_COUNT = 9;

/** Load of orders at the usual rate. */
export const ORDERS: Load = {
  service: "orders",
  isOrder: true,
  urgency: "normal",
  requestsPerS: 20,
  runMs: 80,
  deadlineMs: 2_000,
};

/**
 * Starts the processes of the Lakeshore example without publishing its set.
 *
 * @example
 * ```ts
 * const fleet = startLakeshore();
 * await fleet.stop();
 * ```
 */
export function startLakeshore(): FleetProcesses {
  return startFleet({
    region: "great-lakes",
    dataCentres: ["detroit", "cleveland", "milwaukee"],
    daemons: ENTRY_HOST_COUNT,
    setFile: EXAMPLE,
    workers: { first: "127.0.0.1:22001", count: EXECUTOR_COUNT },
    runMs: 40,
    extra: "[bounds]\nunready_ms = 500\n",
  });
}

/**
 * Returns the addresses of the executors.
 *
 * @example
 * ```ts
 * const counts = await readExecutorCounts(listExecutorAddresses());
 * ```
 */
export function listExecutorAddresses(): string[] {
  return Array.from(
    { length: EXECUTOR_COUNT },
    (_, index) => `127.0.0.1:${21_001 + index}`,
  );
}

/**
 * Publishes the Lakeshore set and waits until orders are served. Returns the
 * file of the set, and the seconds from the accepted publication until the set
 * was in force on all entry hosts.
 *
 * @example
 * ```ts
 * const { setFile } = await openFleet(fleet, console.log);
 * ```
 */
export async function openFleet(
  fleet: FleetProcesses,
  logProgress: (text: string) => void,
): Promise<{ setFile: string; secondsUntilInForce: number }> {
  const setFile = join(fleet.folder, "lakeshore.ini");
  writeFileSync(setFile, readFileSync(EXAMPLE));
  logProgress(
    `started ${ENTRY_HOST_COUNT} entry hosts and ${EXECUTOR_COUNT} executors`,
  );
  await waitFor(async () => await hasListeners(fleet), {
    what: "the entry hosts",
    timeoutMs: 15_000,
  });
  const secondsUntilInForce = await publishSet(fleet, setFile);
  logProgress(
    "published the Lakeshore set; it is in force on every entry host",
  );
  await waitFor(() => canServe(fleet.balancer), {
    what: "the first answer",
    timeoutMs: 15_000,
  });
  return { setFile, secondsUntilInForce };
}

async function hasListeners(fleet: FleetProcesses): Promise<boolean> {
  const clients = [...fleet.clients.values()];
  const answers = await Promise.all(clients.map((client) => client.status()));
  return answers.every((answer) => answer.isRight());
}

/** Publishes the first set; returns the seconds until all hosts apply it. */
async function publishSet(
  fleet: FleetProcesses,
  file: string,
): Promise<number> {
  const { code, output } = await runProgram("lagoonloom", [
    "publish",
    file,
    "--expected-version",
    "0",
    "--settings",
    fleet.cliSettings,
  ]);
  if (code !== 0) throw new Error(`The publication failed: ${output}`);
  const startedAtMs = performance.now();
  await waitFor(() => isInForce(fleet, 1), {
    what: "version 1 on every entry host",
    timeoutMs: 10_000,
  });
  return (performance.now() - startedAtMs) / 1_000;
}

async function isInForce(
  fleet: FleetProcesses,
  version: number,
): Promise<boolean> {
  const clients = [...fleet.clients.values()];
  const answers = await Promise.all(clients.map((client) => client.status()));
  return answers.every((answer) =>
    answer.map((status) => status.version >= version).orDefault(false)
  );
}

async function canServe(address: string): Promise<boolean> {
  const results = await Promise.all(
    Array.from(
      { length: ENTRY_HOST_COUNT },
      () => sendRequest(ORDERS, { address }),
    ),
  );
  return results.every(({ outcome }) => outcome === "answered");
}
