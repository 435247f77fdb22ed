/**
 * Measures how a flood of one service affects the others in real processes.
 *
 * @module
 */

import { monitorEventLoopDelay } from "node:perf_hooks";
import type { MeasureRow } from "../measure_row.ts";
import {
  listExecutorAddresses,
  openFleet,
  ORDERS,
  startLakeshore,
} from "./open_fleet.ts";
import { readExecutorCounts } from "./guarantees.ts";
import { type CallerResult, type Load, sendLoads } from "./traffic.ts";

const QUOTES: Load = {
  service: "quotes",
  isOrder: false,
  urgency: "normal",
  requestsPerS: 20,
  runMs: 40,
  deadlineMs: 1_000,
};

const OTHER_LOADS: readonly Load[] = [
  ORDERS,
  {
    ...QUOTES,
    service: "reservations",
    requestsPerS: 30,
    runMs: 60,
    deadlineMs: 2_000,
  },
  {
    ...QUOTES,
    service: "shipments",
    requestsPerS: 30,
    runMs: 120,
    deadlineMs: 3_000,
  },
];

/**
 * Load that needs 1.5 times the slots of the whole fleet, with run times of 45
 * times the declared ones. Long runs need few requests per second, so that the
 * machine that runs all processes does not become the bottleneck.
 */
const FLOOD: Load = {
  ...QUOTES,
  urgency: "deferrable",
  requestsPerS: 240,
  runMs: 1_800,
  deadlineMs: 4_000,
};

/** Duration of the load without a flood in milliseconds. */
const BASELINE_MS = 5_000;

/** Duration of the load with a flood in milliseconds. */
const FLOOD_MS = 12_000;

/**
 * Measures a flood of quotes against real daemons, executors and a balancer of
 * the Lakeshore example. `processes-flood-kept` is the goodput within the
 * deadline of the worst other service, as a ratio to the time without a flood.
 * `processes-flood-in-time` is the fraction of the flood's started requests
 * that are answered, and `processes-slots-most` the maximum number of
 * unanswered requests at an executor. The values depend on the machine:
 * `processes-flood-loop-delay` is the longest delay of this process's event
 * loop, which the latencies of its callers include.
 *
 * @example
 * ```ts
 * const rows = await measureProcessesFlood();
 * ```
 */
export async function measureProcessesFlood(): Promise<MeasureRow[]> {
  const fleet = startLakeshore();
  try {
    await openFleet(fleet, () => undefined);
    const { balancer: address } = fleet;
    const loads = [QUOTES, ...OTHER_LOADS];
    const baseline = await sendLoads(loads, {
      address,
      durationMs: BASELINE_MS,
    });
    const loopDelay = monitorEventLoopDelay();
    loopDelay.enable();
    const flood = await sendLoads([...loads, FLOOD], {
      address,
      durationMs: FLOOD_MS,
    });
    loopDelay.disable();
    const loopDelayMs = loopDelay.max / 1e6;
    const counts = await readExecutorCounts(listExecutorAddresses());
    const shares = OTHER_LOADS.map((load) =>
      computeGoodput(flood, load) / computeGoodput(baseline, load)
    );
    return [
      createRow("processes-flood-kept", Math.min(...shares), "ratio"),
      createRow("processes-flood-in-time", computeInTime(flood), "ratio"),
      createRow("processes-slots-most", counts.maxConcurrent, "count"),
      createRow("processes-flood-loop-delay", loopDelayMs, "ms"),
    ];
  } finally {
    await fleet.stop();
  }
}

function createRow(measure: string, value: number, unit: string): MeasureRow {
  const rounded = Number(value.toFixed(4));
  return {
    measure,
    deployment: "lakeshore",
    policy: "chosen",
    value: rounded,
    unit,
  };
}

/** Computes the fraction of a load that was answered within the deadline. */
function computeGoodput(results: readonly CallerResult[], load: Load): number {
  const ofLoad = results.filter(({ service }) => service === load.service);
  const inTime = ofLoad.filter(({ outcome, latencyMs }) =>
    outcome === "answered" && latencyMs <= load.deadlineMs
  );
  return inTime.length / ofLoad.length;
}

/** Computes the fraction of the started quotes that were answered. */
function computeInTime(results: readonly CallerResult[]): number {
  const started = results.filter(({ service, outcome }) =>
    service === FLOOD.service && outcome !== "not-run"
  );
  const answered = started.filter(({ outcome }) => outcome === "answered");
  return answered.length / started.length;
}
