/**
 * Publishes the demo's maintenance wave and watches its permits.
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import { type FleetProcesses, runProgram } from "../processes/mod.ts";
import type { GuaranteeRow } from "./guarantees.ts";

/** Published wave whose permits are being watched. */
export type StartedWave = {
  name: string;
  /** Maximum number of hosts with a permit at a time, sampled every 100 ms. */
  maxOut: () => number;
  stopWatching: () => void;
};

/** Hosts of the pool that may be out at a time by the example's budget. */
const MAX_OUT = 2;

const WATCH_INTERVAL_MS = 100;

const WAVE = `
[wave demo]
pools = quoting
outage_s = 1
finish_within_h = 1
state = active
`;

/**
 * Publishes a short maintenance wave over one pool.
 *
 * @throws {Error} If the publication is refused.
 *
 * @example
 * ```ts
 * const wave = await startWave(fleet, "/tmp/run/lakeshore.ini");
 * ```
 */
export async function startWave(
  fleet: FleetProcesses,
  setFile: string,
): Promise<StartedWave> {
  writeFileSync(setFile, readFileSync(setFile, "utf8") + WAVE);
  const { code, output } = await runProgram("lagoonloom", [
    "publish",
    setFile,
    "--expected-version",
    "1",
    "--settings",
    fleet.cliSettings,
  ]);
  if (code !== 0) throw new Error(`The wave was refused: ${output}`);
  return { name: "demo", ...watchPermits(fleet) };
}

function watchPermits(fleet: FleetProcesses) {
  let maxOut = 0;
  const clients = [...fleet.clients.values()];
  const timer = setInterval(() => {
    for (const client of clients.slice(-2)) {
      void client.status().then((answer) =>
        answer.ifRight(({ permits = [] }) => {
          maxOut = Math.max(maxOut, permits.length);
        })
      );
    }
  }, WATCH_INTERVAL_MS);
  return { maxOut: () => maxOut, stopWatching: () => clearInterval(timer) };
}

/**
 * Asks an entry host about the wave and checks the number of permits.
 *
 * @example
 * ```ts
 * const row = await checkWave(fleet, wave);
 * ```
 */
export async function checkWave(
  fleet: FleetProcesses,
  wave: StartedWave,
): Promise<GuaranteeRow> {
  wave.stopWatching();
  for (const client of fleet.clients.values()) {
    const explanation = await client.explain("wave", wave.name);
    if (explanation.isLeft()) continue;
    const sentence = explanation.unsafeCoerce().sentences[0];
    return {
      guarantee: "the wave runs under the budgets",
      holds: sentence !== undefined && wave.maxOut() <= MAX_OUT,
      detail: `${sentence ?? "not started"} At most ${wave.maxOut()} at once.`,
    };
  }
  return {
    guarantee: "the wave runs under the budgets",
    holds: false,
    detail: "no entry host answered",
  };
}
