import type { MeasureRow } from "../measure_row.ts";
import {
  addFlood,
  type Arrival,
  computeRunLength,
  drawArrivals,
  FLOOD_FROM_MS,
  type FloodCase,
  rotateDemand,
} from "./demand.ts";
import { countSlots, type Deployment, DEPLOYMENTS } from "./deployment.ts";
import { CHOSEN, FIXED_SHARES, type Policy, SHARED_FIFO } from "./policy.ts";
import { type RunResult, simulateRequests } from "./simulate_requests.ts";

/** Flood cases and the suffix of their rows. */
const CASES: readonly FloodCase[] = ["deferrable", "urgent", "both"];

/** Time in milliseconds for a flood to reach every slot before it is scored. */
const SETTLE_MS = 1_000;

/**
 * Measures what a flood leaves to the other desks (`flood-kept-*`: goodput
 * within the deadline of the worst other desk, as a ratio to the run without
 * the flood) and how much of the capacity that the others leave free the
 * flooding desk uses (`flood-own`, the worst case). Some policies serve less
 * without a flood too, so `flood-goodput` is the share of the requests of the
 * worst other desk that are answered within their deadline, and
 * `flood-ordinary` that of the flooding desk's normal requests.
 *
 * The bound is 1 for both: with full knowledge, each request of the others gets
 * the same slot at the same time as in the run without the flood, and the
 * flood, which always has work waiting, gets every slot in all other moments.
 *
 * @example
 * ```ts
 * const rows = measureFlood();
 * ```
 */
export function measureFlood(): MeasureRow[] {
  const rows: MeasureRow[] = [];
  for (const deployment of DEPLOYMENTS) {
    for (const policy of [CHOSEN, SHARED_FIFO, FIXED_SHARES]) {
      rows.push(...measurePolicy(deployment, policy));
    }
    for (const name of [...CASES.map(nameKept), "flood-own"]) {
      rows.push(createRow(name, 1, { deployment, policy: "bound" }));
    }
  }
  return rows;
}

function measurePolicy(deployment: Deployment, policy: Policy): MeasureRow[] {
  const members = deployment.entryHosts;
  const base = drawArrivals(rotateDemand(deployment), { seed: 1, members });
  const quiet = simulateRequests({ deployment, policy, arrivals: base });
  const options = { deployment, policy: policy.name };
  const rows: MeasureRow[] = [];
  let own = 1;
  let goodput = 1;
  let ordinary = 1;
  for (const flood of CASES) {
    const demands = addFlood(deployment, flood);
    const arrivals = [...base, ...drawArrivals(demands, { seed: 2, members })]
      .sort((a, b) => a.atMs - b.atMs);
    const result = simulateRequests({ deployment, policy, arrivals });
    const kept = computeKept(deployment, { base, quiet, result });
    rows.push(createRow(nameKept(flood), kept, options));
    own = Math.min(own, computeOwn(deployment, result));
    goodput = Math.min(goodput, computeGoodput(deployment, { base, result }));
    ordinary = Math.min(
      ordinary,
      computeOrdinary(deployment, { base, result }),
    );
  }
  rows.push(createRow("flood-own", own, options));
  rows.push(createRow("flood-goodput", goodput, options));
  rows.push(createRow("flood-ordinary", ordinary, options));
  return rows;
}

function nameKept(flood: FloodCase): string {
  return `flood-kept-${flood}`;
}

function createRow(
  measure: string,
  value: number,
  options: { deployment: Deployment; policy: string },
): MeasureRow {
  return {
    measure,
    deployment: options.deployment.name,
    policy: options.policy,
    value: Number(value.toFixed(4)),
    unit: "ratio",
  };
}

/** Goodput of the worst other desk relative to its requests. */
function computeGoodput(
  deployment: Deployment,
  options: { base: readonly Arrival[]; result: RunResult },
): number {
  const shares = deployment.desks
    .filter((desk) => desk.name !== deployment.flooding)
    .map((desk) => {
      const own = options.base.filter(({ service }) => service === desk.name);
      return countGood(own, options.result) / own.length;
    });
  return Math.min(...shares);
}

/** Goodput of the normal requests of the flooding desk during the flood. */
function computeOrdinary(
  deployment: Deployment,
  options: { base: readonly Arrival[]; result: RunResult },
): number {
  const own = options.base.filter((arrival) =>
    arrival.service === deployment.flooding &&
    arrival.urgency === "normal" && arrival.atMs > FLOOD_FROM_MS
  );
  return countGood(own, options.result) / own.length;
}

function countGood(arrivals: readonly Arrival[], result: RunResult): number {
  return arrivals.filter(({ id }) => result.good.has(id)).length;
}

/**
 * Returns the goodput of the worst other desk relative to the run without the
 * flood.
 *
 * @example
 * ```ts
 * const kept = computeKept(LAKESHORE, { base, quiet, result });
 * ```
 */
export function computeKept(
  deployment: Deployment,
  options: { base: readonly Arrival[]; quiet: RunResult; result: RunResult },
): number {
  const { base, quiet, result } = options;
  let worst = Infinity;
  for (const desk of deployment.desks) {
    if (desk.name === deployment.flooding) continue;
    const own = base.filter((arrival) => arrival.service === desk.name);
    const kept = countGood(own, result) / countGood(own, quiet);
    worst = Math.min(worst, kept);
  }
  return worst;
}

/** Share of the slot time left by the others that the flooding desk uses. */
function computeOwn(deployment: Deployment, result: RunResult): number {
  const fromMs = FLOOD_FROM_MS + SETTLE_MS;
  const toMs = computeRunLength(deployment);
  let own = 0;
  let others = 0;
  for (const use of result.uses) {
    const usedMs = Math.min(toMs, use.toMs) - Math.max(fromMs, use.fromMs);
    if (usedMs <= 0) continue;
    if (use.service === deployment.flooding) own += usedMs;
    else others += usedMs;
  }
  return own / (countSlots(deployment) * (toMs - fromMs) - others);
}
