import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { formatTable } from "../format_rows.ts";
import type { MeasureRow } from "../measure_row.ts";
import { type Load, type LoadResult, sendLoad } from "./send_load.ts";
import { type BackEnds, serveBackEnds } from "./serve_back_ends.ts";
import { CALLER_KEY, serveDaemon } from "./serve_daemon.ts";
import { servePassThrough } from "./serve_pass_through.ts";

/** Rounds of each load; the two servers take turns. */
const ROUNDS = 5;

const ROUND_MS = 3_000;
const WARM_UP_MS = 2_000;
const CONNECTIONS = 32;

/** Rate of the run that compares latencies, below what both can serve. */
const RATE_PER_S = 800;

const BODY = Buffer.alloc(256, "b");

type Role = "back-ends" | "daemon" | "pass-through";

/** Server in a process of its own, so that its processor time is its own. */
type Server = { child: ChildProcess; address: string };

/** Sums over the rounds of one load on one server. */
type Total = { results: LoadResult[]; cpuUs: number };

async function main(): Promise<void> {
  const role = process.argv[2];
  if (role !== undefined) return await serveRole(role as Role);
  const back = await startRole("back-ends");
  const backEnds = back.started as BackEnds;
  const servers: Record<string, Server> = {};
  for (const name of ["daemon", "pass-through"] as const) {
    const { child, started } = await startRole(name, backEnds);
    servers[name] = { child, address: started as string };
  }
  const rows: MeasureRow[] = [];
  rows.push(...await compare(servers, "full", {}));
  rows.push(...await compare(servers, "paced", { ratePerS: RATE_PER_S }));
  const orders = await runLoad(servers["daemon"]!, {
    path: "/v1/services/orders/a",
    hasKeys: true,
    ratePerS: 200,
  });
  rows.push(...describe("orders", "chosen", orders));
  console.log(formatTable(rows));
  for (const { child } of [back, ...Object.values(servers)]) child.kill();
}

/** Runs a load on both servers in turn. */
async function compare(
  servers: Record<string, Server>,
  name: string,
  load: Partial<Load>,
): Promise<MeasureRow[]> {
  const totals: Record<string, Total> = {};
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
  const [daemon, plain] = [totals["daemon"]!, totals["pass-through"]!];
  const ratio = (measure: string, value: number): MeasureRow => ({
    measure: `${name}-${measure}`,
    deployment: "loopback",
    policy: "chosen",
    value: round2(value),
    unit: "ratio",
  });
  return [
    ...describe(name, "chosen", daemon),
    ...describe(name, "baseline:pass-through", plain),
    ratio("cpu-ratio", cpuPerRequest(daemon) / cpuPerRequest(plain)),
    ratio("p99-ratio", percentile(daemon, 99) / percentile(plain, 99)),
  ];
}

async function runLoad(server: Server, load: Partial<Load>): Promise<Total> {
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

function describe(name: string, policy: string, total: Total): MeasureRow[] {
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
    row("p50", percentile(total, 50), "ms"),
    row("p99", percentile(total, 99), "ms"),
    row("cpu", cpuPerRequest(total), "us/request"),
  ];
}

function sum(total: Total, pick: (result: LoadResult) => number): number {
  return total.results.reduce((count, result) => count + pick(result), 0);
}

function cpuPerRequest(total: Total): number {
  return total.cpuUs / sum(total, (result) => result.requests);
}

/** Median over the rounds, since a round may meet other load. */
function percentile(total: Total, percent: number): number {
  const values = total.results
    .map(({ latency }) => latency.getValueAtPercentile(percent) / 1_000)
    .sort((a, b) => a - b);
  return values[Math.floor(values.length / 2)]!;
}

function round2(value: number): number {
  return Number(value.toFixed(2));
}

/** Starts this program in a role of its own process. */
async function startRole(
  role: Role,
  backEnds?: BackEnds,
): Promise<{ child: ChildProcess; started: unknown }> {
  const args = [role, ...(backEnds ? [JSON.stringify(backEnds)] : [])];
  const child = fork(process.argv[1]!, args);
  const [started] = await once(child, "message");
  return { child, started };
}

async function readCpu(child: ChildProcess): Promise<number> {
  child.send("cpu");
  const [cpuUs] = await once(child, "message");
  return cpuUs as number;
}

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
