import {
  applyRecord,
  type DemandEstimate,
  emptyFleetState,
  type FleetState,
  observeDemand,
  planMoves,
  planObservations,
  planWave,
  trackShortages,
  trackSurpluses,
} from "@lagoonloom/decisions";
import {
  createFleetSet,
  createModelHosts,
  observeHosts,
} from "@lagoonloom/standins/fleet";
import type { MeasureRow } from "../measure_row.ts";
import { createLargeDeployment } from "./deployments.ts";

/** Numbers of workers for which a decision round is timed. */
const WORKER_COUNTS = [360, 1_200, 3_600];

/** Number of decision rounds per fleet. */
const ROUNDS = 60;

/** First rounds, which don't count, since the code is not yet optimised. */
const WARM_UP_ROUNDS = 20;

/**
 * Times the decision rounds of one data centre. A round plans observations,
 * waves and moves. A daemon does these in separate turns of its event loop, so
 * the time of a round is that of its longest part. The rows hold the median and
 * the longest time per number of workers, and the slope in milliseconds per
 * 1,000 workers. The values depend on the machine.
 *
 * @example
 * ```ts
 * const rows = measureDecideTime();
 * ```
 */
export function measureDecideTime(): MeasureRow[] {
  const results = WORKER_COUNTS.map((workers) => ({
    workers,
    timesMs: timeRounds(workers),
  }));
  const rows = results.flatMap(({ workers, timesMs }) => [
    row(`workers-${workers}`, "decide-time", quantile(timesMs, 0.5)),
    row(`workers-${workers}`, "decide-time-max", quantile(timesMs, 1)),
  ]);
  const [first, last] = [results[0]!, results.at(-1)!];
  const slope = 1_000 *
    (quantile(last.timesMs, 0.5) - quantile(first.timesMs, 0.5)) /
    (last.workers - first.workers);
  return [...rows, row("two-year", "decide-time-slope", slope)];
}

function row(deployment: string, measure: string, ms: number): MeasureRow {
  const value = Math.round(1_000 * ms) / 1_000;
  return { measure, deployment, policy: "chosen", value, unit: "ms" };
}

function quantile(values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.round(share * (sorted.length - 1))] ?? 0;
}

/** Returns the time in milliseconds of the longest part of each round. */
function timeRounds(workers: number): number[] {
  const { shape } = createLargeDeployment(workers);
  const waves = { all: { outage_s: 300 } };
  const set = createFleetSet({ ...shape, waves });
  const state = emptyFleetState();
  const change = { put: set, removed: [] };
  apply(state, {
    type: "set.changed",
    expectedVersion: 0,
    change,
    operator: "measure",
  });
  for (const { name } of shape.dataCentres) {
    const identity = { holder: "measure", incarnation: "i1" };
    state.deciders.set(name, { ...identity, epoch: 1, leaseEndMs: Infinity });
  }
  const hosts = createModelHosts(Object.keys(set.hosts), {
    drainMs: 0,
    restartMs: () => 300_000,
  });
  const { healthByHost, observations } = observeHosts(hosts, {
    nowMs: 0,
  });
  const term = { scope: shape.dataCentres[0]!.name, epoch: 1 };
  const timesMs: number[] = [];
  let estimates = new Map<string, DemandEstimate>();
  for (let round = 0; round < ROUNDS; round++) {
    const nowMs = 1_000 * round;
    let startedAtMs = performance.now();
    let longestMs = 0;
    const endPart = <Value>(value: Value): Value => {
      const nowMs = performance.now();
      longestMs = Math.max(longestMs, nowMs - startedAtMs);
      startedAtMs = nowMs;
      return value;
    };
    estimates = new Map(
      Object.entries(shape.pools).map(([pool, size]) => [
        pool,
        observeDemand(estimates.get(pool), { hosts: 0.7 * size, atMs: nowMs }),
      ]),
    );
    const demand = new Map(
      [...estimates].map(([pool, { hosts }]) => [pool, hosts]),
    );
    const trackOptions = { demand, nowMs };
    const options = {
      term,
      nowMs,
      demand,
      shortages: trackShortages(state, [], trackOptions),
      surpluses: trackSurpluses(state, [], trackOptions),
    };
    const records = [
      ...endPart(planObservations(state, healthByHost, { term, nowMs })),
      ...endPart(planWave(state, observations, { term, nowMs })).records,
      ...endPart(planMoves(state, observations, options)).records,
    ];
    if (round >= WARM_UP_ROUNDS) timesMs.push(longestMs);
    for (const { body } of records) apply(state, body);
  }
  return timesMs;
}

function apply(state: FleetState, body: unknown): void {
  const offset = state.nextOffset;
  applyRecord(state, { offset, timeMs: offset, id: `r${offset}`, body });
}
