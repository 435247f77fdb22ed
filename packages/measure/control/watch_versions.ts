import type { OperatorClient } from "@lagoonloom/operators";
import type { ControlFleet } from "./control_fleet.ts";

/** Time between two questions to one daemon in milliseconds. */
const POLL_MS = 50;

/** Publications whose times are read. */
const HISTORY = 1_000;

type Sample = { version: number; atMs: number };

/**
 * Asks every daemon for its version while a load runs, and returns for each
 * publication the seconds from its time in the log until every daemon had it in
 * force. They are overstated by up to the interval of the questions.
 *
 * @example
 * ```ts
 * const delays = await watchVersions(fleet, () => publishChanges(fleet, load));
 * ```
 */
export async function watchVersions(
  fleet: ControlFleet,
  run: () => Promise<unknown>,
): Promise<number[]> {
  const clients = [...fleet.processes.clients.values()];
  const before = await readVersion(clients[0]!);
  let isRunning = true;
  const watched = clients.map((client) => sampleWhile(client, () => isRunning));
  await run();
  // The last publications need their time to be in force.
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  isRunning = false;
  const samples = await Promise.all(watched);
  const history = (await clients[0]!.history(HISTORY)).orDefault([]);
  return history.filter(({ version }) => version > before)
    .map(({ version, timeMs }) => {
      const inForceAtMs = samples.map((daemon) =>
        daemon.find((sample) => sample.version >= version)?.atMs ?? Infinity
      );
      return (Math.max(...inForceAtMs) - timeMs) / 1_000;
    });
}

async function sampleWhile(
  client: OperatorClient,
  isRunning: () => boolean,
): Promise<Sample[]> {
  const samples: Sample[] = [];
  while (isRunning()) {
    const version = await readVersion(client);
    samples.push({ version, atMs: Date.now() });
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return samples;
}

async function readVersion(client: OperatorClient): Promise<number> {
  const status = await client.status();
  return status.map(({ version }) => version).orDefault(0);
}
