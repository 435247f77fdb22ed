/**
 * Fleet of daemon processes for tests: each daemon reaches the log through a
 * relay that tests can disconnect.
 *
 * @module
 */

import { formatObjectSet, type ObjectSet } from "@lagoonloom/objects";
import { createOperatorClient } from "@lagoonloom/operators";
import {
  createLogStore,
  createTestFleet,
  type ProcessOutput,
  serveExecutor,
  serveLog,
} from "@lagoonloom/standins";
import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type EntryHost,
  KEYS,
  waitFor,
  writeCliSettings,
  writeDaemonSettings,
} from "../processes/mod.ts";
import { startRelay } from "./_relay.ts";

const DIST = fileURLToPath(new URL("../../../dist/", import.meta.url));

/** Time in milliseconds after which a step of a test fails. */
const STEP_TIMEOUT_MS = 12_000;

/** Interval in milliseconds at which a daemon's set version is read. */
const SAMPLE_INTERVAL_MS = 20;

/** Daemon process and its relay to the log. */
export type DaemonProcess = Awaited<ReturnType<typeof startDaemon>>;

/**
 * Starts a log, an executor and two daemons, and waits for the daemons. Their
 * output is recorded.
 */
export async function startProcessFleet(output: ProcessOutput) {
  const folder = mkdtempSync(join(tmpdir(), "lagoonloom-"));
  const store = createLogStore();
  const log = await serveLog(store, "127.0.0.1:0");
  const executor = await serveExecutor("127.0.0.1:0", { name: "e1" });
  const set = createTestFleet({
    pools: { quoting: 1 },
    addressOf: () => executor.address,
  });
  const entryHosts = await createEntryHosts(3);
  const daemons: DaemonProcess[] = [];
  const cleanups = [() => log.close(), () => executor.close()];
  const start = async (number: number, isDisconnected = false) => {
    const entryHost = entryHosts[number - 1]!;
    const options = {
      folder,
      log: log.address,
      entryHosts,
      isDisconnected,
    };
    const daemon = await startDaemon(entryHost, options);
    output.record(entryHost.name, daemon.child);
    daemons.push(daemon);
    cleanups.push(daemon.close);
    return daemon;
  };
  async function stop() {
    await Promise.all(cleanups.map((close) => close()));
    rmSync(folder, { recursive: true, force: true });
  }
  const [first, second] = await Promise.all([start(1), start(2)]);
  for (const daemon of daemons) {
    await waitUntil(daemon.isReady, "a daemon").catch(async (error) => {
      await stop();
      throw error;
    });
  }
  return {
    store,
    set,
    executor,
    first,
    second,
    start,
    /** Appends a publication to the log, as another daemon would. */
    appendSetChange(expectedVersion: number): void {
      store.append("control", {
        id: `elsewhere-${expectedVersion}`,
        body: {
          type: "set.changed",
          expectedVersion,
          change: {
            put: expectedVersion === 0
              ? set
              : createPool(`p${expectedVersion}`),
            removed: [],
          },
          operator: "eve",
        },
      });
    },
    /** Publishes the set and one more pool by the command-line client. */
    publish(options: { version: number; pool: string; addresses: string[] }) {
      const { version, pool, addresses } = options;
      const file = join(folder, `${pool}.ini`);
      const { pools } = createPool(pool);
      writeFileSync(
        file,
        formatObjectSet({ ...set, pools: { ...set.pools, ...pools } }),
      );
      const hosts = entryHosts.map((host, index) => ({
        ...host,
        operators: addresses[index % addresses.length]!,
      })).slice(0, addresses.length);
      const settingsFolder = mkdtempSync(join(folder, "cli-"));
      const settings = writeCliSettings(settingsFolder, hosts);
      const expected = String(version);
      return runCli([
        ...["publish", file, "--settings", settings],
        ...["--expected-version", expected],
      ]);
    },
    waitForVersion: (version: number) =>
      waitUntil(async () => {
        const versions = await Promise.all(daemons.map((it) => it.version()));
        return versions.every((it) => it === version);
      }, `version ${version}`),
    stop,
  };
}

function createPool(name: string): Pick<ObjectSet, "pools"> {
  return { pools: { [name]: { spare: false, min_hosts: 0 } } };
}

/** Waits until a condition holds; a rejection counts as false. */
export function waitUntil(
  isTrue: () => Promise<boolean>,
  what: string,
): Promise<void> {
  return waitFor(() => isTrue().catch(() => false), {
    timeoutMs: STEP_TIMEOUT_MS,
    what,
  });
}

type DaemonOptions = {
  folder: string;
  log: string;
  entryHosts: readonly EntryHost[];
  isDisconnected: boolean;
};

async function startDaemon(entryHost: EntryHost, options: DaemonOptions) {
  const relay = await startRelay(options.log);
  if (options.isDisconnected) relay.disconnect();
  const log = relay.address;
  const file = writeDaemonSettings(entryHost, { ...options, log, hosts: log });
  const child = spawn(process.execPath, [join(DIST, "lagoonloomd.js"), file], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  const operators = createOperatorClient({
    address: entryHost.operators,
    key: KEYS.operator,
    timeoutMs: 2_000,
  });
  const versions: number[] = [];
  const version = async () => (await operators.status()).unsafeCoerce().version;
  const base = `http://${entryHost.callers}`;
  const sampler = sampleVersions(version, versions);
  return {
    relay,
    child,
    operators,
    operatorsAddress: entryHost.operators,
    version,
    /** Every set version that was read since the start, in order. */
    versions,
    async isReady() {
      return (await fetch(`${base}/readyz`)).status === 200;
    },
    call(method: "GET" | "POST", key?: string) {
      return fetch(`${base}/v1/services/quoting/x`, {
        method,
        headers: {
          authorization: `Bearer ${KEYS.caller}`,
          ...(key !== undefined && { "idempotency-key": key }),
        },
      });
    },
    async close() {
      sampler.stop();
      await endProcess(child);
      await relay.close();
    },
  };
}

/** Reads the set version periodically until it is stopped. */
function sampleVersions(version: () => Promise<number>, versions: number[]) {
  let isStopped = false;
  void (async () => {
    while (!isStopped) {
      await version().then((it) => versions.push(it), () => undefined);
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_INTERVAL_MS));
    }
  })();
  return { stop: () => void (isStopped = true) };
}

async function endProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, "exit");
  child.kill("SIGKILL");
  await exited;
}

/** Runs the command-line client to its end. */
async function runCli(args: readonly string[]) {
  const child = spawn(
    process.execPath,
    [join(DIST, "lagoonloom.js"), ...args],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  let output = "";
  child.stdout.on("data", (data) => output += String(data));
  child.stderr.on("data", (data) => output += String(data));
  const [code] = await once(child, "close") as [number | null];
  return { code, output };
}

/** Chooses the addresses of daemons; no two listeners get the same one. */
export async function createEntryHosts(count: number): Promise<EntryHost[]> {
  const found = new Set<string>();
  while (found.size < 3 * count) found.add(await findFreeAddress());
  const addresses = [...found];
  return Array.from({ length: count }, (_, index) => ({
    name: `detroit-${index + 1}`,
    region: "great-lakes",
    dataCentre: "detroit",
    callers: addresses[3 * index]!,
    operators: addresses[3 * index + 1]!,
    peers: addresses[3 * index + 2]!,
  }));
}

/**
 * Finds a free address. Its port is below the ephemeral ports, which an
 * outgoing connection could take before the daemon listens.
 */
async function findFreeAddress(): Promise<string> {
  for (;;) {
    const port = randomInt(10_000, 20_000);
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    server.close();
    await once(server, "close");
    return `127.0.0.1:${port}`;
  }
}
