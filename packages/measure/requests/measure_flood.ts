import type { MeasureRow } from "../measure_row.ts";
import {
  type Arrival,
  computeRunLengthMs,
  createFloodDemand,
  createRotatingDemand,
  drawArrivals,
  FLOOD_START_MS,
  type FloodCase,
} from "./demand.ts";
import { countSlots, type Deployment, DEPLOYMENTS } from "./deployment.ts";
import { CHOSEN, FIXED_SHARES, type Policy, SHARED_FIFO } from "./policy.ts";
import { type RunResult, simulateRequests } from "./simulate_requests.ts";

/** Cases that are measured; each name is the suffix of its row. */
const FLOOD_CASES: readonly FloodCase[] = ["deferrable", "urgent", "both"];

/**
 * Time in milliseconds that a flood has to spread to all slots before its use
 * of them counts.
 */
const SETTLE_MS = 1_000;

/**
 * Measures how much goodput (requests answered within their deadline) the other
 * desks keep while one desk floods the deployment: `flood-kept-*` is that of
 * the worst other desk as a ratio to the run without the flood. `flood-own` is
 * the share of the slot time left free by the others that the flooding desk
 * uses, in the worst case. Since some policies serve less without a flood too,
 * `flood-goodput` is the share of the worst other desk's requests that are
 * answered in time, and `flood-ordinary` that of the flooding desk's normal
 * requests.
 *
 * The bound of `flood-kept-*` and `flood-own` is 1: if all requests were known
 * in advance, each one of the others could get the same slot at the same time
 * as in the run without the flood, and the flood, which always has requests
 * waiting, could get every slot at all other times.
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
    for (const name of [...FLOOD_CASES.map(keptMeasureName), "flood-own"]) {
      rows.push(createRow(name, 1, { deployment, policy: "bound" }));
    }
  }
  return rows;
}

function measurePolicy(deployment: Deployment, policy: Policy): MeasureRow[] {
  const members = deployment.entryHosts;
  const baseArrivals = drawArrivals(createRotatingDemand(deployment), {
    seed: 1,
    members,
  });
  const withoutFlood = simulateRequests({
    deployment,
    policy,
    arrivals: baseArrivals,
  });
  const options = { deployment, policy: policy.name };
  const rows: MeasureRow[] = [];
  let freeCapacityUse = 1;
  let goodput = 1;
  let normal = 1;
  for (const flood of FLOOD_CASES) {
    const periods = createFloodDemand(deployment, flood);
    const arrivals = [
      ...baseArrivals,
      ...drawArrivals(periods, { seed: 2, members }),
    ].sort((a, b) => a.atMs - b.atMs);
    const withFlood = simulateRequests({ deployment, policy, arrivals });
    const kept = computeKeptGoodput(deployment, {
      baseArrivals,
      withoutFlood,
      withFlood,
    });
    rows.push(createRow(keptMeasureName(flood), kept, options));
    freeCapacityUse = Math.min(
      freeCapacityUse,
      computeFreeCapacityUse(deployment, withFlood),
    );
    goodput = Math.min(
      goodput,
      computeWorstGoodput(deployment, { baseArrivals, withFlood }),
    );
    normal = Math.min(
      normal,
      computeNormalGoodput(deployment, { baseArrivals, withFlood }),
    );
  }
  rows.push(createRow("flood-own", freeCapacityUse, options));
  rows.push(createRow("flood-goodput", goodput, options));
  rows.push(createRow("flood-ordinary", normal, options));
  return rows;
}

function keptMeasureName(flood: FloodCase): string {
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

/** Returns the share of the worst other desk's requests answered in time. */
function computeWorstGoodput(
  deployment: Deployment,
  options: { baseArrivals: readonly Arrival[]; withFlood: RunResult },
): number {
  const shares = deployment.desks
    .filter((desk) => desk.name !== deployment.floodingDesk)
    .map((desk) => {
      const ownArrivals = options.baseArrivals.filter(({ service }) =>
        service === desk.name
      );
      return countInTime(ownArrivals, options.withFlood) / ownArrivals.length;
    });
  return Math.min(...shares);
}

/** Returns the share of the flooding desk's normal requests in time. */
function computeNormalGoodput(
  deployment: Deployment,
  options: { baseArrivals: readonly Arrival[]; withFlood: RunResult },
): number {
  const ownArrivals = options.baseArrivals.filter((arrival) =>
    arrival.service === deployment.floodingDesk &&
    arrival.urgency === "normal" && arrival.atMs > FLOOD_START_MS
  );
  return countInTime(ownArrivals, options.withFlood) / ownArrivals.length;
}

function countInTime(arrivals: readonly Arrival[], result: RunResult): number {
  return arrivals.filter(({ id }) => result.answeredInTime.has(id)).length;
}

/**
 * Returns the goodput of the worst other desk as a ratio to the run without the
 * flood.
 *
 * @example
 * ```ts
 * const runs = { baseArrivals, withoutFlood, withFlood };
 * const ratio = computeKeptGoodput(LAKESHORE, runs);
 * ```
 */
export function computeKeptGoodput(
  deployment: Deployment,
  options: {
    baseArrivals: readonly Arrival[];
    withoutFlood: RunResult;
    withFlood: RunResult;
  },
): number {
  const { baseArrivals, withoutFlood, withFlood } = options;
  let worst = Infinity;
  for (const desk of deployment.desks) {
    if (desk.name === deployment.floodingDesk) continue;
    const ownArrivals = baseArrivals.filter((arrival) =>
      arrival.service === desk.name
    );
    const kept = countInTime(ownArrivals, withFlood) /
      countInTime(ownArrivals, withoutFlood);
    worst = Math.min(worst, kept);
  }
  return worst;
}

/** Returns the share of slot time free of other desks that the flood uses. */
function computeFreeCapacityUse(
  deployment: Deployment,
  result: RunResult,
): number {
  const fromMs = FLOOD_START_MS + SETTLE_MS;
  const toMs = computeRunLengthMs(deployment);
  let floodMs = 0;
  let othersMs = 0;
  for (const use of result.uses) {
    const usedMs = Math.min(toMs, use.toMs) - Math.max(fromMs, use.fromMs);
    if (usedMs <= 0) continue;
    if (use.service === deployment.floodingDesk) floodMs += usedMs;
    else othersMs += usedMs;
  }
  return floodMs / (countSlots(deployment) * (toMs - fromMs) - othersMs);
}
