import type { DaemonStatus } from "@lagoonloom/operators";
import {
  type Answer,
  askDaemons,
  newestAnswer,
  reportNoAnswer,
} from "./_ask_daemons.ts";
import {
  describeClientError,
  formatTable,
  formatTime,
  paint,
} from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

const UNKNOWN = "unknown";

/**
 * Prints the version in force on each daemon, and the hosts that leave with
 * their permits as the most recent daemon reports them. A daemon that does not
 * answer is shown as unknown.
 *
 * @example
 * ```ts
 * const exitCode = await statusCommand(context);
 * ```
 */
export async function statusCommand(context: RemoteContext): Promise<ExitCode> {
  const answers = await askDaemons(context.clients, (c) => c.status());
  const newest = newestAnswer(answers, ({ offset }) => offset)?.value;
  if (context.isJson) {
    if (newest === undefined) return reportNoAnswer(answers, context);
    const daemons = answers.map(({ client, value, error }) => ({
      address: client.address,
      status: value ?? UNKNOWN,
      ...(error !== undefined && { error: describeClientError(error) }),
    }));
    context.print(JSON.stringify({ daemons }));
    return EXIT_CODE.ok;
  }
  for (const line of formatTable(daemonRows(answers))) {
    const isUnknown = line.includes(`  ${UNKNOWN}`);
    context.print(isUnknown ? paint(line, "yellow", context) : line);
  }
  if (newest === undefined) return reportNoAnswer(answers, context);
  context.print(describeVersions(answers));
  printHosts(newest, context);
  return EXIT_CODE.ok;
}

function daemonRows(answers: Answer<DaemonStatus>[]) {
  const heading = [
    "ADDRESS",
    "DAEMON",
    "DATA CENTRE",
    "VERSION",
    "READY",
    "OFFSET",
    "LOG",
  ];
  const rows = answers.map(({ client, value, error }) => {
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
      age === undefined ? "" : `heard ${Math.round(age)} ms ago`,
    ];
  });
  return [[...heading, "REASON"], ...rows];
}

function describeVersions(answers: Answer<DaemonStatus>[]) {
  const counts = new Map<string, number>();
  for (const { value } of answers) {
    const version = value === undefined ? UNKNOWN : `version ${value.version}`;
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  const parts = [...counts].map(([version, count]) => `${version}: ${count}`);
  return `${parts.join(", ")} of ${answers.length} daemon(s)`;
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
