import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Entry host of a started fleet. */
export type EntryHost = {
  name: string;
  region: string;
  dataCentre: string;
  callers: string;
  operators: string;
  peers: string;
};

/** Keys of the started fleet; they protect loopback listeners only. */
export const KEYS = {
  operator: "demo-operator-key-0001",
  peers: "demo-peer-key-00000001",
  caller: "demo-caller-key-000001",
} as const;

/** Options of {@linkcode writeDaemonSettings}. */
export type DaemonFileOptions = {
  folder: string;
  /** Addresses of the platform's log and host list. */
  log: string;
  hosts: string;
  entryHosts: readonly EntryHost[];
  /** Further sections, for example `[bounds]`. */
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
 * Writes the settings of the command line and returns the file's path.
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
