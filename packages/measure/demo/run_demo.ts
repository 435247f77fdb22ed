import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type FleetProcesses,
  runProgram,
  startFleet,
  waitFor,
} from "../processes/mod.ts";
import { checkAnswers, type PromiseRow, readExecutors } from "./promises.ts";
import {
  type CallerResult,
  type Load,
  sendLoads,
  sendRequest,
} from "./traffic.ts";
import { checkWave, startWave } from "./wave.ts";

const EXAMPLE = fileURLToPath(
  new URL("../examples/lakeshore.ini", import.meta.url),
);

const EXECUTORS = 35;

/** Number of entry hosts, three in each data centre. */
const ENTRY_HOSTS = 9;

const QUOTES: Load = {
  service: "quotes",
  isOrder: false,
  urgency: "normal",
  requestsPerS: 40,
  runMs: 40,
  deadlineMs: 1_000,
};

const ORDERS: Load = {
  service: "orders",
  isOrder: true,
  urgency: "normal",
  requestsPerS: 20,
  runMs: 80,
  deadlineMs: 2_000,
};

/** Asks for about three times the slots of the whole fleet. */
const FLOOD: Load = {
  ...QUOTES,
  urgency: "deferrable",
  requestsPerS: 900,
  runMs: 900,
  deadlineMs: 2_000,
};

/**
 * Runs the Lakeshore example as separate processes and prints what held.
 * Returns whether every promise was kept.
 *
 * @example
 * ```ts
 * const isKept = await runDemo();
 * ```
 */
export async function runDemo(): Promise<boolean> {
  const startedAtMs = performance.now();
  const note = (text: string) => {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
    console.log(`${seconds.padStart(5)} s  ${text}`);
  };
  const fleet = startFleet({
    region: "great-lakes",
    dataCentres: ["detroit", "cleveland", "milwaukee"],
    daemons: ENTRY_HOSTS,
    setFile: EXAMPLE,
    workers: { first: "127.0.0.1:22001", count: EXECUTORS },
    runMs: 40,
    extra: "[bounds]\nunready_ms = 500\n",
  });
  const onSignal = () => void fleet.stop().then(() => process.exit(1));
  process.once("SIGINT", onSignal);
  process.once("SIGTERM", onSignal);
  try {
    const rows = await runSteps(fleet, note);
    printRows(rows);
    return rows.every(({ holds }) => holds);
  } finally {
    const folder = await fleet.stop();
    note(`all processes ended${folder ? `; output in ${folder}` : ""}`);
  }
}

async function runSteps(
  fleet: FleetProcesses,
  note: (text: string) => void,
): Promise<PromiseRow[]> {
  const rows: PromiseRow[] = [];
  const setFile = join(fleet.folder, "lakeshore.ini");
  writeFileSync(setFile, readFileSync(EXAMPLE));
  note(`started ${ENTRY_HOSTS} entry hosts and ${EXECUTORS} executors`);
  await waitFor(async () => await hasListeners(fleet), {
    what: "the entry hosts",
    timeoutMs: 15_000,
  });
  rows.push(await publishSet(fleet, { file: setFile, expectedVersion: 0 }));
  note("published the Lakeshore set; it is in force on every entry host");
  const { balancer: address } = fleet;
  await waitFor(() => canServe(address), {
    what: "the first answer",
    timeoutMs: 15_000,
  });
  const calm = await sendLoads([QUOTES, ORDERS], {
    address,
    durationMs: 4_000,
  });
  note(`calm: ${summarize(calm)}`);
  const loads = [QUOTES, ORDERS, FLOOD];
  const flood = await sendLoads(loads, { address, durationMs: 5_000 });
  note(`flood of quotes: ${summarize(flood)}`);
  note(`reasons for orders: ${countReasons(flood)}`);
  rows.push(compareOrders(calm, flood));
  const wave = await startWave(fleet, setFile);
  note("published the maintenance wave");
  const killed = fleet.entryHosts[0]!;
  const during = sendLoads([QUOTES, ORDERS], { address, durationMs: 9_000 });
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  fleet.group.find(killed.name)?.kill("SIGKILL");
  note(`killed the entry host ${killed.name}`);
  const served = await during;
  note(`wave and kill: ${summarize(served)}`);
  const repeated = await repeatUnanswered(served, fleet);
  note(`repeats of orders without an answer: ${summarize(repeated)}`);
  rows.push(await checkWave(fleet, wave));
  const addresses = Array.from(
    { length: EXECUTORS },
    (_, index) => `127.0.0.1:${21_001 + index}`,
  );
  const counts = await readExecutors(addresses);
  const all = [...calm, ...flood, ...served, ...repeated];
  return [...checkAnswers(all, counts), ...rows];
}

async function hasListeners(fleet: FleetProcesses): Promise<boolean> {
  const clients = [...fleet.clients.values()];
  const answers = await Promise.all(clients.map((client) => client.status()));
  return answers.every((answer) => answer.isRight());
}

async function publishSet(
  fleet: FleetProcesses,
  options: { file: string; expectedVersion: number },
): Promise<PromiseRow> {
  const { code, output } = await runProgram("lagoonloom", [
    "publish",
    options.file,
    "--expected-version",
    String(options.expectedVersion),
    "--settings",
    fleet.cliSettings,
  ]);
  if (code !== 0) throw new Error(`The publication failed: ${output}`);
  const startedAtMs = performance.now();
  const version = options.expectedVersion + 1;
  await waitFor(() => isInForce(fleet, version), {
    what: `version ${version} on every entry host`,
    timeoutMs: 10_000,
  });
  const seconds = (performance.now() - startedAtMs) / 1_000;
  return {
    promise: "in force everywhere within 3 s",
    holds: seconds <= 3,
    detail: `${seconds.toFixed(2)} s after the publication was accepted`,
  };
}

async function isInForce(
  fleet: FleetProcesses,
  version: number,
): Promise<boolean> {
  const clients = [...fleet.clients.values()];
  const answers = await Promise.all(clients.map((client) => client.status()));
  return answers.every((answer) =>
    answer.map((status) => status.version >= version).orDefault(false)
  );
}

async function canServe(address: string): Promise<boolean> {
  const results = await Promise.all(
    Array.from({ length: ENTRY_HOSTS }, () => sendRequest(ORDERS, { address })),
  );
  return results.every(({ outcome }) => outcome === "answered");
}

/** Repeats orders whose caller does not know whether they ran. */
async function repeatUnanswered(
  results: readonly CallerResult[],
  fleet: FleetProcesses,
): Promise<CallerResult[]> {
  const open = results.filter(({ isOrder, outcome }) =>
    isOrder && outcome !== "answered"
  );
  const alive = fleet.entryHosts.slice(1);
  return await Promise.all(open.map(({ key }, index) => {
    const address = alive[index % alive.length]!.callers;
    return sendRequest({ ...ORDERS, deadlineMs: 4_000 }, { address, key });
  }));
}

/** Compares the orders that were answered in time, as a share of all. */
function compareOrders(
  calm: readonly CallerResult[],
  flood: readonly CallerResult[],
): PromiseRow {
  const share = (results: readonly CallerResult[]) => {
    const orders = results.filter(({ isOrder }) => isOrder);
    const good = orders.filter(({ outcome, latencyMs }) =>
      outcome === "answered" && latencyMs <= ORDERS.deadlineMs
    );
    return good.length / orders.length;
  };
  const kept = share(flood) / share(calm);
  return {
    promise: "orders keep 98% of their service",
    holds: kept >= 0.98,
    detail: `${(kept * 100).toFixed(1)}% during the flood`,
  };
}

function summarize(results: readonly CallerResult[]): string {
  const count = (outcome: CallerResult["outcome"]) =>
    results.filter((result) => result.outcome === outcome).length;
  return `${count("answered")} answered, ${count("not-run")} not run, ` +
    `${count("unknown")} unknown, ${count("broken")} connections lost`;
}

/** Lists why orders were not answered. */
function countReasons(results: readonly CallerResult[]): string {
  const counts = new Map<string, number>();
  for (const { isOrder, outcome, reason = outcome } of results) {
    if (!isOrder || outcome === "answered") continue;
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return [...counts].map(([reason, count]) => `${count} ${reason}`)
    .join(", ") || "none";
}

function printRows(rows: readonly PromiseRow[]): void {
  const width = Math.max(...rows.map(({ promise }) => promise.length));
  console.log();
  for (const { promise, holds, detail } of rows) {
    const mark = holds ? "held  " : "BROKEN";
    console.log(`${mark}  ${promise.padEnd(width)}  ${detail}`);
  }
  console.log(
    "\nNext: docs/operating.md, docs/proofs.md; npm run measure for figures.",
  );
}
