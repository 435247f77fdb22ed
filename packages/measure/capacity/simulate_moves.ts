/**
 * Simulation of the moves of hosts between pools.
 *
 * @module
 */

import {
  applyRecord,
  type DemandEstimate,
  emptyFleetState,
  type FleetState,
  isAvailable,
  neededHosts,
  observeDemand,
  planMoves,
  type PlannedRecord,
  planObservations,
  type PoolImbalance,
  trackShortages,
  trackSurpluses,
} from "@lagoonloom/decisions";
import {
  createFleetSet,
  createModelHosts,
  failHost,
  type ModelHosts,
  observeHosts,
  restartHost,
  stepHosts,
} from "@lagoonloom/standins/fleet";
import {
  type CapacityTrace,
  computeAverageLoad,
  getMeanDemand,
} from "./capacity_trace.ts";
import type { CapacityDeployment } from "./deployments.ts";

/**
 * Policy by which hosts are moved: `chosen` is that of this project, `static`
 * moves none, and `threshold` acts at once on the current load.
 */
export type MovePolicy = "chosen" | "static" | "threshold";

/** Result of {@linkcode simulateMoves}. */
export type MoveResult = {
  /** Host seconds in service beyond the need of the pools. */
  idleHostS: number;
  /** Host seconds that the pools lacked. */
  lackingHostS: number;
  moves: number;
};

/** Options of {@linkcode simulateMoves}. */
export type SimulateMovesOptions = {
  trace: CapacityTrace;
  policy: MovePolicy;
  /** Length of a step in seconds. */
  stepS: number;
};

const DRAIN_MS = 20_000;
const RESTART_MS = 300_000;

type Simulation = SimulateMovesOptions & {
  state: FleetState;
  hosts: ModelHosts;
  scopes: string[];
  estimates: Map<string, DemandEstimate>;
  shortages: PoolImbalance[];
  surpluses: PoolImbalance[];
  /** Index of the next failure of the trace. */
  nextFailure: number;
  result: MoveResult;
};

/**
 * Simulates the moves of a deployment under the demand and failures of a trace.
 * The planners work on the folded state, and hosts fail, drain and restart.
 *
 * @example
 * ```ts
 * const options = { trace, policy, stepS: 10 };
 * const { idleHostS } = simulateMoves(deployment, options);
 * ```
 */
export function simulateMoves(
  { shape }: CapacityDeployment,
  options: SimulateMovesOptions,
): MoveResult {
  const set = createFleetSet(shape);
  const simulation: Simulation = {
    ...options,
    state: emptyFleetState(),
    hosts: createModelHosts(Object.keys(set.hosts), {
      drainMs: DRAIN_MS,
      restartMs: () => RESTART_MS,
    }),
    scopes: shape.dataCentres.map(({ name }) => name),
    estimates: new Map(),
    shortages: [],
    surpluses: [],
    nextFailure: 0,
    result: { idleHostS: 0, lackingHostS: 0, moves: 0 },
  };
  const change = { put: set, removed: [] };
  const body = { expectedVersion: 0, change, operator: "measure" };
  applyBody(simulation, { type: "set.changed", ...body }, 0);
  claimScopes(simulation);
  for (let atS = 0; atS < options.trace.seconds; atS += options.stepS) {
    simulateStep(simulation, atS);
  }
  return simulation.result;
}

function applyBody(
  simulation: Simulation,
  body: unknown,
  timeMs: number,
): boolean {
  const { state } = simulation;
  const offset = state.nextOffset;
  const record = { offset, timeMs, id: `r${offset}`, body };
  return applyRecord(state, record).type === "applied";
}

/** Gives one decider leases that never end, since no decider fails here. */
function claimScopes({ state, scopes }: Simulation): void {
  for (const scope of scopes) {
    const identity = { holder: "measure", incarnation: "i1" };
    state.deciders.set(scope, { ...identity, epoch: 1, leaseEndMs: Infinity });
  }
}

function simulateStep(simulation: Simulation, atS: number): void {
  const { state, hosts, stepS } = simulation;
  const nowMs = 1_000 * atS;
  stepHosts(hosts, {
    nowMs,
    isLeaving: (name) => state.hosts.get(name)?.permit !== undefined,
  });
  failHosts(simulation, atS);
  const demand = estimateDemand(simulation, atS);
  if (simulation.policy !== "static") {
    trackImbalances(simulation, demand, nowMs);
  }
  const { healthByHost, observations } = observeHosts(hosts, { nowMs });
  for (const scope of simulation.scopes) {
    const term = { scope, epoch: 1 };
    const planned = planObservations(state, healthByHost, { term, nowMs });
    applyRecords(simulation, planned, nowMs);
    const { shortages, surpluses } = simulation;
    const options = { term, nowMs, demand, shortages, surpluses };
    const plan = planMoves(state, observations, options);
    applyRecords(simulation, plan.records, nowMs);
    for (const host of plan.reboots) restartHost(hosts, host, { nowMs });
  }
  addHostTime(simulation, { atS, stepS });
}

function applyRecords(
  simulation: Simulation,
  records: readonly PlannedRecord[],
  nowMs: number,
): void {
  for (const { body } of records) {
    const applied = applyBody(simulation, body, nowMs);
    if (applied && body.type === "permit.granted") simulation.result.moves++;
  }
}

function failHosts(simulation: Simulation, atS: number): void {
  const { trace, state, hosts } = simulation;
  for (;;) {
    const failure = trace.failures[simulation.nextFailure];
    if (failure === undefined || failure.atS > atS) return;
    simulation.nextFailure++;
    const name = [...state.hostsByPool.get(failure.pool) ?? []].sort()
      .find((host) => isAvailable(state, host));
    if (name === undefined) continue;
    const untilMs = 1_000 * failure.untilS;
    failHost(hosts, name, { nowMs: 1_000 * atS, untilMs });
  }
}

function estimateDemand(
  simulation: Simulation,
  atS: number,
): Map<string, number> {
  const { trace, estimates, policy, stepS } = simulation;
  const demand = new Map<string, number>();
  for (const pool of trace.pools) {
    const hosts = computeAverageLoad(trace, pool, {
      fromS: atS,
      toS: atS + stepS,
    });
    const known = policy === "threshold" ? undefined : estimates.get(pool);
    const next = observeDemand(known, { hosts, atMs: 1_000 * atS });
    estimates.set(pool, next);
    demand.set(pool, next.hosts);
  }
  return demand;
}

function trackImbalances(
  simulation: Simulation,
  demand: ReadonlyMap<string, number>,
  nowMs: number,
): void {
  const { state, policy } = simulation;
  // For the threshold policy, every imbalance has lasted for long.
  const resolvePrevious = (known: PoolImbalance[]): PoolImbalance[] =>
    policy === "chosen" ? known : simulation.trace.pools.map((pool) => ({
      pool,
      hosts: 0,
      sinceMs: -1e9,
    }));
  const options = { demand, nowMs };
  const { shortages, surpluses } = simulation;
  simulation.shortages = trackShortages(
    state,
    resolvePrevious(shortages),
    options,
  );
  simulation.surpluses = trackSurpluses(
    state,
    resolvePrevious(surpluses),
    options,
  );
}

/** Adds the idle and lacking host time of a step to the result. */
function addHostTime(
  { state, trace, result }: Simulation,
  { atS, stepS }: { atS: number; stepS: number },
): void {
  for (const pool of trace.pools) {
    let available = 0;
    for (const name of state.hostsByPool.get(pool) ?? []) {
      if (isAvailable(state, name)) available++;
    }
    const demand = getMeanDemand(trace, pool, atS);
    const idle = available - neededHosts(state, pool, { demand });
    if (idle > 0) result.idleHostS += idle * stepS;
    else result.lackingHostS -= idle * stepS;
  }
}
