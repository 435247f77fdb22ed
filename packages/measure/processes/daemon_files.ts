/**
 * Writes the configuration files of a fleet on loopback.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Name, location and listening addresses of a daemon. */
export type EntryHost = {
  name: string;
  region: string;
  dataCentre: string;
  /** Address for callers. */
  callers: string;
  /** Address for operators. */
  operators: string;
  /** Address for other daemons. */
  peers: string;
};

/** API keys of a started fleet, whose servers listen on loopback only. */
export const KEYS = {
  operator: "demo-operator-key-0001",
  peers: "demo-peer-key-00000001",
  caller: "demo-caller-key-000001",
} as const;

/** Options of {@linkcode writeDaemonSettings}. */
export type DaemonFileOptions = {
  folder: string;
  /** Address of the platform's log. */
  log: string;
  /** Address of the platform's host list. */
  hosts: string;
  /** All entry hosts of the fleet. */
  entryHosts: readonly EntryHost[];
  /** Additional sections, for example `[bounds]`. */
  extra?: string;
};

/**
 * Writes the settings of one daemon and returns the file's path.
 *
 * @example
 * ```ts
 * const file = writeDaemonSettings(entryHost, options);
 * ```
 */
export function writeDaemonSettings(
  entryHost: EntryHost,
  options: DaemonFileOptions,
): string {
  const { name, region, dataCentre, callers, operators, peers } = entryHost;
  const seeds = options.entryHosts.filter((other) => other.name !== name)
    .map((other) => other.peers);
  const file = join(options.folder, `${name}.ini`);
  writeFileSync(
    file,
    `[daemon]
name = ${name}
region = ${region}
data_centre = ${dataCentre}
[callers]
address = ${callers}
[operators]
address = ${operators}
[peers]
address = ${peers}
key = ${KEYS.peers}
seeds = ${seeds.join(", ")}
[platform]
log = ${options.log}
hosts = ${options.hosts}
[operator ada]
key = ${KEYS.operator}
[caller clubs]
key = ${KEYS.caller}
${options.extra ?? ""}
`,
  );
  return file;
}

/**
 * Writes the settings of the command-line client and returns the file's path.
 *
 * @example
 * ```ts
 * const file = writeCliSettings("/tmp/run", entryHosts);
 * ```
 */
export function writeCliSettings(
  folder: string,
  entryHosts: readonly EntryHost[],
): string {
  const file = join(folder, "lagoonloom.ini");
  const addresses = entryHosts.map(({ operators }) => operators).join(", ");
  writeFileSync(
    file,
    `[operator]
name = ada
key = ${KEYS.operator}
[daemons]
addresses = ${addresses}
`,
  );
  return file;
}
