/**
 * Daemon under test of the benchmark.
 *
 * @module
 */

import {
  DaemonSettings,
  type RunningDaemon,
  startDaemon,
} from "@lagoonloom/daemon";
import { ObjectSet } from "@lagoonloom/objects";
import { createPlatformClient } from "@lagoonloom/platform";
import { createEventLog } from "@lagoonloom/telemetry";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { BackEnds } from "./serve_back_ends.ts";

/** API key of the benchmark's caller. */
export const CALLER_KEY = "benchmark-caller-key";

/** Interval in milliseconds at which the daemon is checked for slots. */
const READY_POLL_MS = 50;

/**
 * Starts a daemon in this process and waits until it owns slots. Returns the
 * address for callers.
 *
 * @example
 * ```ts
 * const address = await serveDaemon(await serveBackEnds());
 * ```
 */
export async function serveDaemon(backEnds: BackEnds): Promise<string> {
  const [callers, operators, peers] = await Promise.all([
    findFreeAddress(),
    findFreeAddress(),
    findFreeAddress(),
  ]);
  const settings = DaemonSettings.parse({
    daemon: { name: "entry-1", region: "bench", data_centre: "bench" },
    callers: { address: callers },
    operators: { address: operators },
    peers: { address: peers, key: "benchmark-peer-key" },
    platform: { log: backEnds.log },
    operator: {},
    caller: { bench: { key: CALLER_KEY } },
    bounds: { executor_connections: 64 },
  });
  const platform = createPlatformClient(backEnds.log, { timeoutMs: 2_000 });
  await platform.append({
    stream: "control",
    id: "bench-set",
    body: {
      type: "set.changed",
      expectedVersion: 0,
      change: { put: createSet(backEnds.executors), removed: [] },
      operator: "bench",
    },
  });
  platform.close();
  const events = createEventLog({ minLevel: "WARN" });
  await waitForSlots(await startDaemon(settings, { events }));
  return callers;
}

async function waitForSlots(runningDaemon: RunningDaemon): Promise<void> {
  const { requestPath } = runningDaemon.daemon;
  while ((requestPath.freeSlotsByPool().get("bench") ?? 0) === 0) {
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}

function createSet(executors: readonly string[]): ObjectSet {
  const host = {
    pool: "bench",
    region: "bench",
    data_centre: "bench",
    cores: 16,
    memory_gb: 32,
  };
  const service = { pool: "bench", run_time_ms: 5, share_percent: 50 };
  return ObjectSet.parse({
    pools: { bench: {} },
    hosts: Object.fromEntries(
      executors.map((address, index) => [
        `bench-${index}`,
        { ...host, address, rack: `rack-${index}` },
      ]),
    ),
    services: {
      quotes: { ...service, idempotent_posts: true },
      orders: service,
    },
    budgets: {},
    waves: {},
    teams: {},
  });
}

/** Finds a free address; another process may take it before it is used. */
function findFreeAddress(): Promise<string> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}
