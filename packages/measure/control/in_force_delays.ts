/**
 * Time until published changes are in force on all daemons.
 *
 * @module
 */

import type { OperatorClient } from "@lagoonloom/operators";
import type { ControlFleet } from "./control_fleet.ts";

/** Time between two polls of a daemon. */
const POLL_INTERVAL_MS = 50;

/** Largest number of publications whose times are read. */
const MAX_PUBLICATIONS = 1_000;

/** Version that a daemon had in force at a time. */
type VersionSample = { version: number; atMs: number };

/**
 * Polls the version of every daemon while a load runs. Returns for each
 * publication the seconds from its time in the log until every daemon had it in
 * force. They are too long by up to the interval between two polls.
 *
 * @example
 * ```ts
 * const run = () => publishChanges(fleet, load);
 * const delays = await measureInForceDelays(fleet, run);
 * ```
 */
export async function measureInForceDelays(
  fleet: ControlFleet,
  run: () => Promise<unknown>,
): Promise<number[]> {
  const clients = [...fleet.processes.clients.values()];
  const before = await readVersion(clients[0]!);
  let isRunning = true;
  const polled = clients.map((client) => pollVersions(client, () => isRunning));
  await run();
  // Lets the last publications come into force on all daemons.
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  isRunning = false;
  const samples = await Promise.all(polled);
  const history = (await clients[0]!.history(MAX_PUBLICATIONS)).orDefault([]);
  return history.filter(({ version }) => version > before)
    .map(({ version, timeMs }) => {
      const inForceAtMs = samples.map((daemon) =>
        daemon.find((sample) => sample.version >= version)?.atMs ?? Infinity
      );
      return (Math.max(...inForceAtMs) - timeMs) / 1_000;
    });
}

async function pollVersions(
  client: OperatorClient,
  isRunning: () => boolean,
): Promise<VersionSample[]> {
  const samples: VersionSample[] = [];
  while (isRunning()) {
    const version = await readVersion(client);
    samples.push({ version, atMs: Date.now() });
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return samples;
}

async function readVersion(client: OperatorClient): Promise<number> {
  const status = await client.status();
  return status.map(({ version }) => version).orDefault(0);
}
