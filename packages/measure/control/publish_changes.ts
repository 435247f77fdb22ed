/**
 * Load of configuration changes.
 *
 * @module
 */

import type { OperatorClient } from "@lagoonloom/operators";
import type { ControlFleet } from "./control_fleet.ts";

/** Rate and duration of configuration changes of one object each. */
export type ChangeLoad = { changesPerS: number; durationMs: number };

/**
 * Publishes changes of one object one after the other and returns the number of
 * accepted ones. If a change takes longer than the interval between two, the
 * rate is lower than requested.
 *
 * @example
 * ```ts
 * const accepted = await publishChanges(fleet, load);
 * ```
 */
export async function publishChanges(
  fleet: ControlFleet,
  load: ChangeLoad,
): Promise<number> {
  const client = [...fleet.processes.clients.values()][0]!;
  const startedAtMs = performance.now();
  let version = await readVersion(client);
  let accepted = 0;
  for (let sent = 0;; sent++) {
    const dueAtMs = startedAtMs + sent * 1_000 / load.changesPerS;
    if (dueAtMs >= startedAtMs + load.durationMs) break;
    await sleep(dueAtMs - performance.now());
    if (performance.now() >= startedAtMs + load.durationMs) break;
    const outcome = await publishOne(fleet, { client, version });
    if (outcome) accepted++;
    version = outcome ? version + 1 : await readVersion(client);
  }
  await sleep(startedAtMs + load.durationMs - performance.now());
  return accepted;
}

async function publishOne(
  fleet: ControlFleet,
  { client, version }: { client: OperatorClient; version: number },
): Promise<boolean> {
  const service = fleet.set.services.quoting!;
  // Differs from the value in force, so that no change is empty.
  const run_time_ms = 5 + version % 50;
  const outcome = await client.submitChange({
    publicationId: `control-${version}`,
    expectedVersion: version,
    operator: "ada",
    change: {
      put: { services: { quoting: { ...service, run_time_ms } } },
      removed: [],
    },
  });
  return outcome.map(({ type }) => type === "accepted").orDefault(false);
}

async function readVersion(client: OperatorClient): Promise<number> {
  const status = await client.status();
  return status.map(({ version }) => version).orDefault(0);
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, delayMs)));
}
