import { monitorEventLoopDelay } from "node:perf_hooks";
import type { MeasureRow } from "../measure_row.ts";
import {
  listExecutorAddresses,
  openFleet,
  ORDERS,
  startLakeshore,
} from "./open_fleet.ts";
import { readExecutors } from "./promises.ts";
import { type CallerResult, type Load, sendLoads } from "./traffic.ts";

const QUOTES: Load = {
  service: "quotes",
  isOrder: false,
  urgency: "normal",
  requestsPerS: 20,
  runMs: 40,
  deadlineMs: 1_000,
};

const OTHERS: readonly Load[] = [
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
 * Asks for 1.5 times the slots of the whole fleet with run times of 45 times
 * the declared ones. Long runs need few requests per second, so that the
 * machine that runs all processes does not become the bottleneck.
 */
const FLOOD: Load = {
  ...QUOTES,
  urgency: "deferrable",
  requestsPerS: 240,
  runMs: 1_800,
  deadlineMs: 4_000,
};

/** Length of each part in milliseconds. */
const CALM_MS = 5_000;
const FLOOD_MS = 12_000;

/**
 * Measures a flood of quotes against real daemons, executors and a balancer of
 * the Lakeshore example. `processes-flood-kept` is the goodput within the
 * deadline of the worst other service, as a ratio to the time without a flood;
 * `processes-flood-in-time` is the share of the flood's started requests that
 * are answered, and `processes-slots-most` the largest number of requests that
 * were present at an executor. The values depend on the machine:
 * `processes-flood-loop-delay` is the longest delay of this process's event
 * loop, which counts in the latencies of its callers.
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
    const loads = [QUOTES, ...OTHERS];
    const calm = await sendLoads(loads, { address, durationMs: CALM_MS });
    const loopDelay = monitorEventLoopDelay();
    loopDelay.enable();
    const flood = await sendLoads([...loads, FLOOD], {
      address,
      durationMs: FLOOD_MS,
    });
    loopDelay.disable();
    const loopDelayMs = loopDelay.max / 1e6;
    const counts = await readExecutors(listExecutorAddresses());
    const shares = OTHERS.map((load) =>
      computeGoodput(flood, load) / computeGoodput(calm, load)
    );
    return [
      createRow("processes-flood-kept", Math.min(...shares), "ratio"),
      createRow("processes-flood-in-time", computeInTime(flood), "ratio"),
      createRow("processes-slots-most", counts.mostConcurrent, "count"),
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

/** Share of the requests of a load that were answered within the deadline. */
function computeGoodput(results: readonly CallerResult[], load: Load): number {
  const own = results.filter(({ service }) => service === load.service);
  const good = own.filter(({ outcome, latencyMs }) =>
    outcome === "answered" && latencyMs <= load.deadlineMs
  );
  return good.length / own.length;
}

/** Share of the started quotes that were answered. */
function computeInTime(results: readonly CallerResult[]): number {
  const started = results.filter(({ service, outcome }) =>
    service === FLOOD.service && outcome !== "not-run"
  );
  const answered = started.filter(({ outcome }) => outcome === "answered");
  return answered.length / started.length;
}
