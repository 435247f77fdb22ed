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

/** Workers at which a decision round is timed. */
const SIZES = [360, 1_200, 3_600];

const ROUNDS = 60;

/** First rounds, in which the code is not yet compiled. */
const WARM_UP_ROUNDS = 20;

/**
 * Times the decision rounds of one data centre: observations, waves and moves,
 * each in a turn of the loop of its own. A value is the longest turn of a
 * round. The values depend on the machine; the slope is in ms per 1,000
 * workers.
 *
 * @example
 * ```ts
 * const rows = measureDecideTime();
 * ```
 */
export function measureDecideTime(): MeasureRow[] {
  const results = SIZES.map((workers) => ({
    workers,
    ms: timeRounds(workers),
  }));
  const rows = results.flatMap(({ workers, ms }) => [
    row(`workers-${workers}`, "decide-time", at(ms, 0.5)),
    row(`workers-${workers}`, "decide-time-max", at(ms, 1)),
  ]);
  const [first, last] = [results[0]!, results.at(-1)!];
  const slope = 1_000 * (at(last.ms, 0.5) - at(first.ms, 0.5)) /
    (last.workers - first.workers);
  return [...rows, row("two-year", "decide-time-slope", slope)];
}

function row(deployment: string, measure: string, ms: number): MeasureRow {
  const value = Math.round(1_000 * ms) / 1_000;
  return { measure, deployment, policy: "chosen", value, unit: "ms" };
}

function at(values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.round(share * (sorted.length - 1))] ?? 0;
}

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
  const times: number[] = [];
  let estimates = new Map<string, DemandEstimate>();
  for (let round = 0; round < ROUNDS; round++) {
    const nowMs = 1_000 * round;
    let startedAtMs = performance.now();
    let longestMs = 0;
    const endTurn = <Value>(value: Value): Value => {
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
    const tracked = { demand, nowMs };
    const options = {
      term,
      nowMs,
      demand,
      shortages: trackShortages(state, [], tracked),
      surpluses: trackSurpluses(state, [], tracked),
    };
    const records = [
      ...endTurn(planObservations(state, healthByHost, { term, nowMs })),
      ...endTurn(planWave(state, observations, { term, nowMs })).records,
      ...endTurn(planMoves(state, observations, options)).records,
    ];
    if (round >= WARM_UP_ROUNDS) times.push(longestMs);
    for (const { body } of records) apply(state, body);
  }
  return times;
}

function apply(state: FleetState, body: unknown): void {
  const offset = state.nextOffset;
  applyRecord(state, { offset, timeMs: offset, id: `r${offset}`, body });
}
