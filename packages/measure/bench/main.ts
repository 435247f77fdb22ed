/**
 * Program that compares the daemon with a plain HTTP proxy under load. Each
 * server runs in a process of its own.
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { formatTable } from "../format_rows.ts";
import type { MeasureRow } from "../measure_row.ts";
import { type Load, type LoadResult, sendLoad } from "./send_load.ts";
import { type BackEnds, serveBackEnds } from "./serve_back_ends.ts";
import { CALLER_KEY, serveDaemon } from "./serve_daemon.ts";
import { servePassThrough } from "./serve_pass_through.ts";

/**
 * Rounds of each load. The servers alternate, so that other load of the machine
 * affects both.
 */
const ROUNDS = 5;

const ROUND_MS = 3_000;
const WARM_UP_MS = 2_000;
const CONNECTIONS = 32;

/** Rate for the comparison of latencies, which both servers can sustain. */
const RATE_PER_S = 800;

const BODY = Buffer.alloc(256, "b");

/** Server that a child process runs. */
type Role = "back-ends" | "daemon" | "pass-through";

/** Server in a child process, so that its CPU time can be measured. */
type Server = { child: ChildProcess; address: string };

/** Results of the rounds of one load on one server, and the CPU time used. */
type LoadTotals = { results: LoadResult[]; cpuUs: number };

async function main(): Promise<void> {
  const role = process.argv[2];
  if (role !== undefined) return await serveRole(role as Role);
  const backEndsProcess = await startRole("back-ends");
  const backEnds = backEndsProcess.started as BackEnds;
  const servers: Record<string, Server> = {};
  for (const name of ["daemon", "pass-through"] as const) {
    const { child, started } = await startRole(name, backEnds);
    servers[name] = { child, address: started as string };
  }
  const rows: MeasureRow[] = [];
  rows.push(...await compareServers(servers, "full", {}));
  rows.push(
    ...await compareServers(servers, "paced", { ratePerS: RATE_PER_S }),
  );
  const orders = await runLoad(servers["daemon"]!, {
    path: "/v1/services/orders/a",
    hasKeys: true,
    ratePerS: 200,
  });
  rows.push(...createRows("orders", "chosen", orders));
  console.log(formatTable(rows));
  for (const { child } of [backEndsProcess, ...Object.values(servers)]) {
    child.kill();
  }
}

/** Runs a load on both servers alternately and compares the results. */
async function compareServers(
  servers: Record<string, Server>,
  name: string,
  load: Partial<Load>,
): Promise<MeasureRow[]> {
  const totals: Record<string, LoadTotals> = {};
  for (const [server, it] of Object.entries(servers)) {
    totals[server] = { results: [], cpuUs: 0 };
    await runLoad(it, { ...load, durationMs: WARM_UP_MS });
  }
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [server, it] of Object.entries(servers)) {
      const { results, cpuUs } = await runLoad(it, load);
      totals[server]!.results.push(...results);
      totals[server]!.cpuUs += cpuUs;
    }
  }
  const [daemon, passThrough] = [totals["daemon"]!, totals["pass-through"]!];
  const ratio = (measure: string, value: number): MeasureRow => ({
    measure: `${name}-${measure}`,
    deployment: "loopback",
    policy: "chosen",
    value: round2(value),
    unit: "ratio",
  });
  return [
    ...createRows(name, "chosen", daemon),
    ...createRows(name, "baseline:pass-through", passThrough),
    ratio("cpu-ratio", cpuPerRequest(daemon) / cpuPerRequest(passThrough)),
    ratio(
      "p99-ratio",
      medianPercentile(daemon, 99) / medianPercentile(passThrough, 99),
    ),
  ];
}

async function runLoad(
  server: Server,
  load: Partial<Load>,
): Promise<LoadTotals> {
  const before = await readCpu(server.child);
  const result = await sendLoad({
    address: server.address,
    path: "/v1/services/quotes/a",
    headers: {
      authorization: `Bearer ${CALLER_KEY}`,
      "content-type": "application/octet-stream",
    },
    body: BODY,
    durationMs: ROUND_MS,
    connections: CONNECTIONS,
    ...load,
  });
  const cpuUs = await readCpu(server.child) - before;
  return { results: [result], cpuUs };
}

function createRows(
  name: string,
  policy: string,
  total: LoadTotals,
): MeasureRow[] {
  const requests = sum(total, (result) => result.requests);
  const durationMs = sum(total, (result) => result.durationMs);
  const row = (measure: string, value: number, unit: string): MeasureRow => ({
    measure: `${name}-${measure}`,
    deployment: "loopback",
    policy,
    value: round2(value),
    unit,
  });
  return [
    row("rate", requests * 1_000 / durationMs, "requests/s"),
    row("failures", sum(total, (result) => result.failures), "requests"),
    row("p50", medianPercentile(total, 50), "ms"),
    row("p99", medianPercentile(total, 99), "ms"),
    row("cpu", cpuPerRequest(total), "us/request"),
  ];
}

function sum(
  total: LoadTotals,
  select: (result: LoadResult) => number,
): number {
  return total.results.reduce((count, result) => count + select(result), 0);
}

function cpuPerRequest(total: LoadTotals): number {
  return total.cpuUs / sum(total, (result) => result.requests);
}

/** Computes the median over the rounds of a percentile of the latency in ms. */
function medianPercentile(total: LoadTotals, percent: number): number {
  const values = total.results
    .map(({ latency }) => latency.getValueAtPercentile(percent) / 1_000)
    .sort((a, b) => a - b);
  return values[Math.floor(values.length / 2)]!;
}

function round2(value: number): number {
  return Number(value.toFixed(2));
}

/** Starts this program as a child process with a role. */
async function startRole(
  role: Role,
  backEnds?: BackEnds,
): Promise<{ child: ChildProcess; started: unknown }> {
  const args = [role, ...(backEnds ? [JSON.stringify(backEnds)] : [])];
  const child = fork(process.argv[1]!, args);
  const [started] = await once(child, "message");
  return { child, started };
}

/** Asks a child process for the CPU time that it has used, in microseconds. */
async function readCpu(child: ChildProcess): Promise<number> {
  child.send("cpu");
  const [cpuUs] = await once(child, "message");
  return cpuUs as number;
}

/** Runs a server; reports its CPU time on each message of the parent. */
async function serveRole(role: Role): Promise<void> {
  const backEnds = JSON.parse(process.argv[3] ?? "{}") as BackEnds;
  process.on("message", () => {
    const { user, system } = process.cpuUsage();
    process.send!(user + system);
  });
  process.on("disconnect", () => process.exit(0));
  const started = role === "back-ends"
    ? await serveBackEnds()
    : role === "daemon"
    ? await serveDaemon(backEnds)
    : await servePassThrough(backEnds.executors);
  process.send!(started);
}

await main();
