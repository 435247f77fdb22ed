/**
 * Runs the demo: a flood of requests, a maintenance wave and the loss of an
 * entry host.
 *
 * @module
 */

import type { FleetProcesses } from "../processes/mod.ts";
import {
  listExecutorAddresses,
  openFleet,
  ORDERS,
  startLakeshore,
} from "./open_fleet.ts";
import {
  checkGuarantees,
  type GuaranteeRow,
  readExecutorCounts,
} from "./guarantees.ts";
import {
  type CallerResult,
  type Load,
  sendLoads,
  sendRequest,
} from "./traffic.ts";
import { checkWave, startWave } from "./wave.ts";

const QUOTES: Load = {
  service: "quotes",
  isOrder: false,
  urgency: "normal",
  requestsPerS: 40,
  runMs: 40,
  deadlineMs: 1_000,
};

/** Load that needs about three times the slots of the whole fleet. */
const FLOOD: Load = {
  ...QUOTES,
  urgency: "deferrable",
  requestsPerS: 450,
  runMs: 1_800,
  deadlineMs: 4_000,
};

/**
 * Runs the Lakeshore example as separate processes and prints which guarantees
 * were kept. Returns whether all were.
 *
 * @example
 * ```ts
 * const areGuaranteesKept = await runDemo();
 * ```
 */
export async function runDemo(): Promise<boolean> {
  const startedAtMs = performance.now();
  const logProgress = (text: string) => {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
    console.log(`${seconds.padStart(5)} s  ${text}`);
  };
  const fleet = startLakeshore();
  const onSignal = () => void fleet.stop().then(() => process.exit(1));
  process.once("SIGINT", onSignal);
  process.once("SIGTERM", onSignal);
  try {
    const rows = await runSteps(fleet, logProgress);
    printRows(rows);
    return rows.every(({ holds }) => holds);
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    return false;
  } finally {
    const folder = await fleet.stop();
    logProgress(`all processes ended${folder ? `; output in ${folder}` : ""}`);
  }
}

async function runSteps(
  fleet: FleetProcesses,
  logProgress: (text: string) => void,
): Promise<GuaranteeRow[]> {
  const rows: GuaranteeRow[] = [];
  const { setFile, secondsUntilInForce } = await openFleet(
    fleet,
    logProgress,
  );
  const crashed = fleet.group.crashed();
  if (crashed.length > 0) {
    throw new Error(`A process ended early: ${crashed.join(", ")}.`);
  }
  rows.push({
    guarantee: "in force everywhere within 3 s",
    holds: secondsUntilInForce <= 3,
    detail: `${
      secondsUntilInForce.toFixed(2)
    } s after the publication was accepted`,
  });
  const { balancer: address } = fleet;
  const baseline = await sendLoads([QUOTES, ORDERS], {
    address,
    durationMs: 4_000,
  });
  logProgress(`without a flood: ${summarize(baseline)}`);
  const loads = [QUOTES, ORDERS, FLOOD];
  const flood = await sendLoads(loads, { address, durationMs: 5_000 });
  logProgress(`flood of quotes: ${summarize(flood)}`);
  logProgress(`reasons of unanswered orders: ${countReasons(flood)}`);
  rows.push(compareOrders(baseline, flood));
  const wave = await startWave(fleet, setFile);
  logProgress("published the maintenance wave");
  const killed = fleet.entryHosts[0]!;
  const pendingResults = sendLoads([QUOTES, ORDERS], {
    address,
    durationMs: 11_000,
  });
  await new Promise((resolve) => setTimeout(resolve, 6_000));
  fleet.group.kill(killed.name);
  logProgress(`killed the entry host ${killed.name}`);
  const duringWave = await pendingResults;
  logProgress(`wave and kill: ${summarize(duringWave)}`);
  const repeated = await repeatUnanswered(duringWave, fleet);
  logProgress(`repeats of unanswered orders: ${summarize(repeated)}`);
  rows.push(await checkWave(fleet, wave));
  const counts = await readExecutorCounts(listExecutorAddresses());
  const all = [...baseline, ...flood, ...duringWave, ...repeated];
  return [...checkGuarantees(all, counts), ...rows];
}

/** Repeats orders whose caller does not know whether they ran. */
async function repeatUnanswered(
  results: readonly CallerResult[],
  fleet: FleetProcesses,
): Promise<CallerResult[]> {
  const unanswered = results.filter(({ isOrder, outcome }) =>
    isOrder && outcome !== "answered"
  );
  const runningHosts = fleet.entryHosts.slice(1);
  return await Promise.all(unanswered.map(({ key }, index) => {
    const address = runningHosts[index % runningHosts.length]!.callers;
    return sendRequest({ ...ORDERS, deadlineMs: 4_000 }, { address, key });
  }));
}

/** Compares the fraction of orders that were answered within the deadline. */
function compareOrders(
  calm: readonly CallerResult[],
  flood: readonly CallerResult[],
): GuaranteeRow {
  const share = (results: readonly CallerResult[]) => {
    const orders = results.filter(({ isOrder }) => isOrder);
    const inTime = orders.filter(({ outcome, latencyMs }) =>
      outcome === "answered" && latencyMs <= ORDERS.deadlineMs
    );
    return inTime.length / orders.length;
  };
  const ratio = share(flood) / share(calm);
  return {
    guarantee: "orders keep 98% of their service",
    holds: ratio >= 0.98,
    detail: `${(ratio * 100).toFixed(1)}% during the flood`,
  };
}

function summarize(results: readonly CallerResult[]): string {
  const count = (outcome: CallerResult["outcome"]) =>
    results.filter((result) => result.outcome === outcome).length;
  return `${count("answered")} answered, ${count("not-run")} not run, ` +
    `${count("unknown")} unknown, ${count("broken")} connections lost`;
}

/** Counts the unanswered orders by reason. */
function countReasons(results: readonly CallerResult[]): string {
  const counts = new Map<string, number>();
  for (const { isOrder, outcome, reason = outcome } of results) {
    if (!isOrder || outcome === "answered") continue;
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return [...counts].map(([reason, count]) => `${count} ${reason}`)
    .join(", ") || "none";
}

function printRows(rows: readonly GuaranteeRow[]): void {
  const width = Math.max(
    ...rows.map(({ guarantee }) => guarantee.length),
  );
  console.log();
  for (const { guarantee, holds, detail } of rows) {
    const verdict = holds ? "held  " : "BROKEN";
    console.log(`${verdict}  ${guarantee.padEnd(width)}  ${detail}`);
  }
  console.log(
    "\nNext: docs/OPERATIONS.md, docs/proofs.md; npm run measure for figures.",
  );
}
