import type { DaemonStatus } from "@lagoonloom/operators";
import {
  type DaemonResult,
  newestResult,
  queryDaemons,
  reportNoResult,
} from "./_query_daemons.ts";
import {
  colourise,
  describeClientError,
  formatTable,
  formatTime,
} from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

const UNKNOWN = "unknown";

/**
 * Prints the version in force on each daemon. A daemon that does not respond is
 * shown as unknown. Also prints the hosts that are being taken out of service
 * and the open permits, as the most up-to-date daemon reports them.
 *
 * @example
 * ```ts
 * const exitCode = await statusCommand(context);
 * ```
 */
export async function statusCommand(context: RemoteContext): Promise<ExitCode> {
  const results = await queryDaemons(context.clients, (c) => c.status());
  const newest = newestResult(results, ({ offset }) => offset)?.value;
  if (context.isJson) {
    if (newest === undefined) return reportNoResult(results, context);
    const daemons = results.map(({ client, value, error }) => ({
      address: client.address,
      status: value ?? UNKNOWN,
      ...(error !== undefined && { error: describeClientError(error) }),
    }));
    context.print(JSON.stringify({ daemons }));
    return EXIT_CODE.ok;
  }
  for (const line of formatTable(formatDaemonRows(results))) {
    const isUnknown = line.includes(`  ${UNKNOWN}`);
    context.print(isUnknown ? colourise(line, "yellow", context) : line);
  }
  if (newest === undefined) return reportNoResult(results, context);
  context.print(describeVersions(results));
  printHosts(newest, context);
  return EXIT_CODE.ok;
}

function formatDaemonRows(results: DaemonResult<DaemonStatus>[]) {
  const heading = [
    "ADDRESS",
    "DAEMON",
    "DATA CENTRE",
    "VERSION",
    "READY",
    "OFFSET",
    "LOG",
  ];
  const rows = results.map(({ client, value, error }) => {
    if (value === undefined) {
      const reason = error === undefined ? "" : describeClientError(error);
      const cells = heading.slice(2).map(() => UNKNOWN);
      return [client.address, UNKNOWN, ...cells, reason];
    }
    const age = value.logAgeMs;
    return [
      client.address,
      value.daemon,
      value.dataCentre,
      String(value.version),
      value.ready ? "yes" : "no",
      String(value.offset),
      age === undefined ? "" : `read ${Math.round(age)} ms ago`,
    ];
  });
  return [[...heading, "REASON"], ...rows];
}

function describeVersions(results: DaemonResult<DaemonStatus>[]) {
  const counts = new Map<string, number>();
  for (const { value } of results) {
    const version = value === undefined ? UNKNOWN : `version ${value.version}`;
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  const parts = [...counts].map(([version, count]) => `${version}: ${count}`);
  return `${parts.join(", ")} of ${results.length} daemon(s)`;
}

function printHosts(status: DaemonStatus, context: RemoteContext) {
  const { leaving = [], permits = [] } = status;
  if (leaving.length > 0) {
    const rows = leaving.map(({ host, pool, reason }) => [host, pool, reason]);
    const heading = ["LEAVING", "POOL", "REASON"];
    context.print("");
    for (const line of formatTable([heading, ...rows])) context.print(line);
  }
  if (permits.length > 0) {
    const rows = permits.map((permit) => [
      permit.host,
      permit.purpose,
      permit.wave ?? "",
      formatTime(permit.grantedAtMs),
      permit.reason,
    ]);
    const heading = ["PERMIT", "PURPOSE", "WAVE", "SINCE", "REASON"];
    context.print("");
    for (const line of formatTable([heading, ...rows])) context.print(line);
  }
}
