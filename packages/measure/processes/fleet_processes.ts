import {
  createOperatorClient,
  type OperatorClient,
} from "@lagoonloom/operators";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type EntryHost,
  KEYS,
  writeCliSettings,
  writeDaemonSettings,
} from "./daemon_files.ts";
import { createProcessGroup, type ProcessGroup } from "./process_group.ts";

/** Stand-ins, daemons and a balancer as separate processes on loopback. */
export type FleetProcesses = {
  folder: string;
  group: ProcessGroup;
  entryHosts: readonly EntryHost[];
  clients: ReadonlyMap<string, OperatorClient>;
  cliSettings: string;
  log: string;
  hosts: string;
  balancer: string;
  startDaemon(entryHost: EntryHost): void;
  /** Ends all processes; returns the folder if `LAGOONLOOM_KEEP` is set. */
  stop(): Promise<string | undefined>;
};

/** Options of {@linkcode startFleet}. */
export type FleetOptions = {
  /** Region of all daemons, or of those of a data centre. */
  region: string | ((dataCentre: string) => string);
  dataCentres: readonly string[];
  daemons: number;
  /** Set whose hosts' executors are served. */
  setFile: string;
  workers?: { first: string; count: number };
  /** Run time of a request without `run_ms` in its query. */
  runMs: number;
  /** Further sections of the daemons' settings. */
  extra?: string;
  /** First port of the daemons' listeners. */
  firstPort?: number;
};

const DEFAULT_FIRST_PORT = 25_000;
const PORTS_PER_DAEMON = 3;

/**
 * Starts a fleet. The daemons are not ready yet when it returns.
 *
 * @example
 * ```ts
 * const fleet = startFleet(options);
 * await fleet.stop();
 * ```
 */
export function startFleet(options: FleetOptions): FleetProcesses {
  const folder = mkdtempSync(join(tmpdir(), "lagoonloom-"));
  const group = createProcessGroup(folder);
  const entryHosts = createEntryHosts(options);
  const firstPort = options.firstPort ?? DEFAULT_FIRST_PORT;
  const local = (port: number) => `127.0.0.1:${firstPort + port}`;
  const [log, hosts, balancer] = [local(900), local(901), local(902)];
  startStandins(group, { ...options, log, hosts, balancer, entryHosts });
  const files = {
    folder,
    log,
    hosts,
    entryHosts,
    ...(options.extra === undefined ? {} : { extra: options.extra }),
  };
  const startDaemon = (entryHost: EntryHost) => {
    const file = writeDaemonSettings(entryHost, files);
    group.start(entryHost.name, "lagoonloomd", [file]);
  };
  for (const entryHost of entryHosts) startDaemon(entryHost);
  const clients = new Map(entryHosts.map(({ name, operators }) => {
    const settings = { address: operators, key: KEYS.operator };
    return [name, createOperatorClient({ ...settings, timeoutMs: 5_000 })];
  }));
  return {
    folder,
    group,
    entryHosts,
    clients,
    cliSettings: writeCliSettings(folder, entryHosts),
    log,
    hosts,
    balancer,
    startDaemon,
    async stop() {
      await group.stop();
      // Kept output helps to find out why a promise was broken.
      if (process.env.LAGOONLOOM_KEEP !== undefined) return folder;
      rmSync(folder, { recursive: true, force: true });
      return undefined;
    },
  };
}

function createEntryHosts(options: FleetOptions): EntryHost[] {
  const { dataCentres, region } = options;
  const firstPort = options.firstPort ?? DEFAULT_FIRST_PORT;
  return Array.from({ length: options.daemons }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length]!;
    const number = Math.floor(index / dataCentres.length) + 1;
    const port = firstPort + index * PORTS_PER_DAEMON;
    return {
      name: `${dataCentre}-${number}`,
      region: typeof region === "string" ? region : region(dataCentre),
      dataCentre,
      callers: `127.0.0.1:${port}`,
      operators: `127.0.0.1:${port + 1}`,
      peers: `127.0.0.1:${port + 2}`,
    };
  });
}

type StandinOptions = FleetOptions & {
  log: string;
  hosts: string;
  balancer: string;
  entryHosts: readonly EntryHost[];
};

function startStandins(group: ProcessGroup, options: StandinOptions): void {
  const { log, hosts, balancer, workers, entryHosts } = options;
  group.start("log", "standins", ["--log", log]);
  group.start("hosts", "standins", [
    "--hosts",
    hosts,
    "--set",
    options.setFile,
    "--run-ms",
    String(options.runMs),
  ]);
  if (workers !== undefined) {
    group.start("workers", "standins", [
      "--workers",
      workers.first,
      "--worker-count",
      String(workers.count),
    ]);
  }
  const backends = entryHosts.map(({ callers }) => callers).join(",");
  group.start("balancer", "standins", [
    "--balancer",
    balancer,
    "--backends",
    backends,
  ]);
}
