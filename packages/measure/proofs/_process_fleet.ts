import { formatObjectSet, type ObjectSet } from "@lagoonloom/objects";
import { createOperatorClient } from "@lagoonloom/operators";
import {
  createLogStore,
  createTestFleet,
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

/** Longest time in milliseconds that a step of a test waits. */
const STEP_MS = 12_000;

/** Interval in milliseconds at which the versions in force are read. */
const SAMPLE_MS = 20;

/** Daemon as a process behind its own relay to the log. */
export type DaemonProcess = Awaited<ReturnType<typeof startDaemon>>;

/** Starts a log, an executor and two daemons of one data centre. */
export async function startProcessFleet() {
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
  const closers = [() => log.close(), () => executor.close()];
  const start = async (number: number, isCut = false) => {
    const entryHost = entryHosts[number - 1]!;
    const options = { folder, log: log.address, entryHosts, isCut };
    const daemon = await startDaemon(entryHost, options);
    daemons.push(daemon);
    closers.push(daemon.close);
    return daemon;
  };
  async function stop() {
    await Promise.all(closers.map((close) => close()));
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
    /** Appends a set as the operators of another data centre do. */
    publishElsewhere(expectedVersion: number): void {
      store.append("control", {
        id: `elsewhere-${expectedVersion}`,
        body: {
          type: "set.changed",
          expectedVersion,
          change: {
            put: expectedVersion === 0 ? set : poolOf(`p${expectedVersion}`),
            removed: [],
          },
          operator: "eve",
        },
      });
    },
    /** Publishes a set, with one more pool, by a process of its own. */
    publish(options: { version: number; pool: string; addresses: string[] }) {
      const { version, pool, addresses } = options;
      const file = join(folder, `${pool}.ini`);
      const { pools } = poolOf(pool);
      writeFileSync(
        file,
        formatObjectSet({ ...set, pools: { ...set.pools, ...pools } }),
      );
      const hosts = entryHosts.map((host, index) => ({
        ...host,
        operators: addresses[index % addresses.length]!,
      })).slice(0, addresses.length);
      const inner = mkdtempSync(join(folder, "cli-"));
      const settings = writeCliSettings(inner, hosts);
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

function poolOf(name: string): Pick<ObjectSet, "pools"> {
  return { pools: { [name]: { spare: false, min_hosts: 0 } } };
}

/** Waits until a condition holds that may throw until then. */
export function waitUntil(
  isTrue: () => Promise<boolean>,
  what: string,
): Promise<void> {
  return waitFor(() => isTrue().catch(() => false), {
    timeoutMs: STEP_MS,
    what,
  });
}

type DaemonOptions = {
  folder: string;
  log: string;
  entryHosts: readonly EntryHost[];
  isCut: boolean;
};

async function startDaemon(entryHost: EntryHost, options: DaemonOptions) {
  const relay = await startRelay(options.log);
  if (options.isCut) relay.cut();
  const log = relay.address;
  const file = writeDaemonSettings(entryHost, { ...options, log, hosts: log });
  const child = spawn(process.execPath, [join(DIST, "lagoonloomd.js"), file], {
    stdio: "ignore",
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
    /** Versions in force since the start, each as often as it was seen. */
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

/** Reads the version in force again and again until it is stopped. */
function sampleVersions(version: () => Promise<number>, seen: number[]) {
  let isStopped = false;
  void (async () => {
    while (!isStopped) {
      await version().then((it) => seen.push(it), () => undefined);
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_MS));
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

/** Runs the command line to its end. */
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

async function createEntryHosts(count: number): Promise<EntryHost[]> {
  const addresses: string[] = [];
  while (addresses.length < 3 * count) addresses.push(await findAddress());
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
 * Returns a free address. Its port is below those that the system gives to
 * outgoing connections, which could take it before the daemon listens.
 */
async function findAddress(): Promise<string> {
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
