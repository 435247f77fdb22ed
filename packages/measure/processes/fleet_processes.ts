/**
 * Starts a fleet as separate processes on loopback.
 *
 * @module
 */

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

/** Stand-ins, daemons and a load balancer as processes on loopback. */
export type FleetProcesses = {
  /** Folder of the settings and of the output of the processes. */
  folder: string;
  group: ProcessGroup;
  entryHosts: readonly EntryHost[];
  /** Operator clients by the name of the entry host. */
  clients: ReadonlyMap<string, OperatorClient>;
  /** Path of the command-line client's settings. */
  cliSettings: string;
  /** Address of the log. */
  log: string;
  /** Address of the host list. */
  hosts: string;
  /** Address of the load balancer. */
  balancer: string;
  startDaemon(entryHost: EntryHost): void;
  /**
   * Ends all processes and removes the folder. Keeps it and returns its path if
   * `LAGOONLOOM_KEEP` is set.
   */
  stop(): Promise<string | undefined>;
};

/** Options of {@linkcode startFleet}. */
export type FleetOptions = {
  /** Region of all daemons, or a function from data centre to region. */
  region: string | ((dataCentre: string) => string);
  dataCentres: readonly string[];
  /** Number of daemons, spread over the data centres in turn. */
  daemons: number;
  /** Object set whose hosts get an executor. */
  setFile: string;
  /** Address of the first worker agent and number of agents. */
  workers?: { first: string; count: number };
  /** Default run time in milliseconds of a request. */
  runMs: number;
  /** Additional sections of the daemons' settings. */
  extra?: string;
  /** First port of the daemons; 25000 by default. */
  firstPort?: number;
};

const DEFAULT_FIRST_PORT = 25_000;
const PORTS_PER_DAEMON = 3;

/**
 * Starts a fleet. Does not wait until the processes are ready.
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
  const addressAt = (port: number) => `127.0.0.1:${firstPort + port}`;
  const [log, hosts, balancer] = [
    addressAt(900),
    addressAt(901),
    addressAt(902),
  ];
  startStandins(group, { ...options, log, hosts, balancer, entryHosts });
  const daemonFileOptions = {
    folder,
    log,
    hosts,
    entryHosts,
    ...(options.extra === undefined ? {} : { extra: options.extra }),
  };
  const startDaemon = (entryHost: EntryHost) => {
    const file = writeDaemonSettings(entryHost, daemonFileOptions);
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
      // The output helps to find out why a guarantee was not kept.
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
