/**
 * Plans the steps of maintenance waves.
 *
 * @module
 */

import type { Wave } from "@lagoonloom/objects";
import { chooseHostsToTakeOut } from "../budgets/choose_hosts_to_take_out.ts";
import { countAsReturned } from "../budgets/find_outage_blocker.ts";
import {
  maxPlannedOutages,
  type PoolCapacity,
  poolCapacity,
} from "../budgets/pool_capacity.ts";
import {
  type DeciderTerm,
  type PlannedRecord,
  planRecord,
} from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import {
  BAD_HOSTS_TO_PAUSE,
  type WaveEvidence,
  waveEvidence,
} from "./wave_evidence.ts";
import {
  hasReturned,
  isDrained,
  type WorkObservations,
} from "./work_observation.ts";

/**
 * Number of canaries: hosts that may be out, at least one per pool, before the
 * first ones of a wave have returned in good health. They limit the damage of a
 * faulty version.
 */
export const CANARY_HOSTS = 4;

/**
 * Number of batches from which a wave starts with canaries only, which costs up
 * to the time of one batch, a tenth of such a wave. In a shorter wave, the
 * pools with the most batches start at full width, and the others, which have
 * at least one batch less, wait for the first returns.
 */
export const MIN_BATCHES_FOR_CANARIES = 10;

/** Hosts that have to return in good health before all pools use full width. */
export const MIN_GOOD_CANARIES = 2;

/**
 * Multiple of the wave's outage for which slow hosts pause it. A slow host that
 * is back does not show whether the cause is gone, as the return of a failed
 * one does, so the wave resumes after this time and tries a few hosts.
 */
export const SLOW_PAUSE_FACTOR = 5;

/** Limit on the records of one round, which keeps a round and appends short. */
export const MAX_RECORDS_PER_ROUND = 64;

/** Options of {@linkcode planWave}. */
export type PlanWaveOptions = {
  /** Only hosts of the term's data centre are planned. */
  term: DeciderTerm;
  /** Log time now in milliseconds. */
  nowMs: number;
};

/** Next steps of the waves in one data centre. */
export type WavePlan = {
  records: PlannedRecord[];
  /** Drained hosts that have to restart now; repeating it is harmless. */
  reboots: string[];
  /** Reasons of the hosts that may not be taken out yet. */
  waiting: Map<string, string>;
};

/**
 * Plans the next steps of all waves in a data centre: pauses and resumptions,
 * restarts of drained hosts, returns and new permits. Urgent waves go before
 * routine ones, and among equals the one with the shortest time to finish.
 *
 * @example
 * ```ts
 * const { records, reboots } = planWave(state, observations, { term, nowMs });
 * ```
 */
export function planWave(
  state: FleetState,
  observations: WorkObservations,
  options: PlanWaveOptions,
): WavePlan {
  const plan: WavePlan = { records: [], reboots: [], waiting: new Map() };
  const waves = Object.entries(state.set.waves).sort(compareWaves);
  const capacities = new Map<string, PoolCapacity>();
  planReturnsAndRestarts(state, observations, { plan, options, capacities });
  const chosenHosts = new Set<string>();
  for (const [name, wave] of waves) {
    const evidence = waveEvidence(state, { wave: name, ...options });
    const change = planWaveState(state, name, { wave, options, evidence });
    if (change !== undefined) plan.records.push(change);
    const isRunning = state.waves.get(name)?.state === "running";
    if (!isRunning || change !== undefined) continue;
    planPermits(state, name, {
      wave,
      options,
      evidence,
      plan,
      capacities,
      chosenHosts,
    });
  }
  return plan;
}

function compareWaves(
  [leftName, left]: [string, Wave],
  [rightName, right]: [string, Wave],
): number {
  const urgency = Number(right.priority === "urgent") -
    Number(left.priority === "urgent");
  return urgency || left.finish_within_h - right.finish_within_h ||
    (leftName < rightName ? -1 : 1);
}

type ReturnOptions = {
  plan: WavePlan;
  options: PlanWaveOptions;
  capacities: Map<string, PoolCapacity>;
};

/** Plans returns of hosts that are back, and restarts of drained ones. */
function planReturnsAndRestarts(
  state: FleetState,
  observations: WorkObservations,
  { plan, options, capacities }: ReturnOptions,
): void {
  for (const [name, host] of state.hosts) {
    if (host.permit?.wave === undefined || !isInScope(state, name, options)) {
      continue;
    }
    const observation = observations.get(name);
    if (hasReturned(host, observation, { sinceMs: host.permit.grantedAtMs })) {
      plan.records.push(planRecord(state, {
        type: "permit.returned",
        ...options.term,
        host: name,
        generation: host.generation,
        outcome: "done",
        reason: `Maintained by wave "${host.permit.wave}" and in service.`,
      }));
      // The return is folded before the permits of this round, so these may use
      // the capacity that it frees.
      const capacity = capacities.get(host.owner) ??
        poolCapacity(state, host.owner);
      capacities.set(host.owner, capacity);
      countAsReturned(state, capacity, name);
    } else if (host.health === "in-service" && isDrained(observation)) {
      plan.reboots.push(name);
    }
  }
}

function isInScope(
  state: FleetState,
  host: string,
  { term }: PlanWaveOptions,
): boolean {
  return getOwn(state.set.hosts, host)?.data_centre === term.scope;
}

type WaveOptions = {
  wave: Wave;
  options: PlanWaveOptions;
  evidence: WaveEvidence;
};

/** Returns the record of a due start, pause, resumption or end of a wave. */
function planWaveState(
  state: FleetState,
  name: string,
  { wave, options, evidence }: WaveOptions,
): PlannedRecord | undefined {
  const current = state.waves.get(name);
  const change = (next: "running" | "paused" | "finished", reason: string) =>
    planRecord(state, {
      type: "wave.changed",
      ...options.term,
      wave: name,
      state: next,
      reason,
    });
  if (wave.state !== "active") {
    if (current?.state !== "running") return undefined;
    return change("paused", `The operators set the wave to ${wave.state}.`);
  }
  if (current === undefined) return change("running", "The wave is active.");
  if (current.state === "finished") return undefined;
  const { bad, slow } = evidence;
  if (current.state === "paused") {
    const pausedMs = options.nowMs - current.sinceMs;
    const isTooEarly = pausedMs < 1_000 * SLOW_PAUSE_FACTOR * wave.outage_s;
    if (bad.length > 0 || (slow.length > 0 && isTooEarly)) return undefined;
    return change("running", "All hosts of the wave are back in service.");
  }
  if (bad.length + slow.length >= BAD_HOSTS_TO_PAUSE) {
    return change("paused", describeEvidence(bad, slow));
  }
  if (hasHostsLeft(state, name, wave)) return undefined;
  return change("finished", "Every host of the wave's pools is maintained.");
}

function describeEvidence(bad: string[], slow: string[]): string {
  const parts = [];
  if (bad.length > 0) {
    parts.push(`not back in time or failed after return: ${bad.join(", ")}`);
  }
  if (slow.length > 0) parts.push(`slow: ${slow.join(", ")}`);
  return `Hosts of the wave are ${parts.join("; ")}.`.slice(0, 500);
}

function hasHostsLeft(state: FleetState, name: string, wave: Wave): boolean {
  const done = state.waves.get(name)?.done;
  for (const pool of wave.pools) {
    for (const host of state.hostsByPool.get(pool) ?? []) {
      if (done?.has(host) !== true) return true;
    }
  }
  return false;
}

type PermitOptions = WaveOptions & {
  plan: WavePlan;
  capacities: Map<string, PoolCapacity>;
  /** Hosts that a wave before this one takes out in the same round. */
  chosenHosts: Set<string>;
};

/** Plans permits for the next hosts of a running wave. */
function planPermits(
  state: FleetState,
  name: string,
  permitOptions: PermitOptions,
): void {
  const { options, plan, capacities, chosenHosts, evidence } = permitOptions;
  const hasGoodCanaries = evidence.good >= MIN_GOOD_CANARIES;
  const pools = listRemainingPools(state, name, permitOptions);
  const batches = Math.max(0, ...pools.map((pool) => pool.batches));
  const isCanaryPhase = !hasGoodCanaries && batches >= MIN_BATCHES_FOR_CANARIES;
  const canariesPerPool = Math.ceil(CANARY_HOSTS / Math.max(1, pools.length));
  const limitByPool = new Map(pools.map(({ pool, out }) => [
    pool,
    isCanaryPhase ? Math.max(0, canariesPerPool - out) : Infinity,
  ]));
  // Every decider chooses among the hosts of all data centres but grants only
  // its own, so that deciders do not compete for the capacity of a pool.
  const choice = chooseHostsToTakeOut(state, {
    candidates: pools
      .filter((pool) =>
        hasGoodCanaries || isCanaryPhase || pool.batches + 1 > batches
      )
      .flatMap((pool) => pool.hosts),
    maxOfPool: (pool) => limitByPool.get(pool) ?? 0,
    capacities,
  });
  for (const [host, reason] of choice.reasons) plan.waiting.set(host, reason);
  for (const host of choice.hosts) {
    chosenHosts.add(host);
    if (!isInScope(state, host, options)) continue;
    if (plan.records.length >= MAX_RECORDS_PER_ROUND) continue;
    plan.waiting.delete(host);
    plan.records.push(planRecord(state, {
      type: "permit.granted",
      ...options.term,
      host,
      generation: state.hosts.get(host)?.generation ?? 0,
      purpose: "reboot",
      wave: name,
      reason: hasGoodCanaries
        ? `Wave "${name}": all budgets hold with the host out.`
        : `Wave "${name}": canary host; all budgets hold with it out.`,
    }));
  }
}

/** Pool with the hosts that a wave has not maintained yet. */
type RemainingPool = {
  pool: string;
  /** Hosts that could be taken out for the wave. */
  hosts: string[];
  /** Number of hosts that are out for the wave. */
  out: number;
  /** Number of batches that the hosts need. */
  batches: number;
};

/** Returns the remaining hosts of a wave by pool, most batches first. */
function listRemainingPools(
  state: FleetState,
  name: string,
  { wave, options, chosenHosts, capacities }: PermitOptions,
): RemainingPool[] {
  const done = state.waves.get(name)?.done;
  return wave.pools.map((pool) => {
    const hosts: string[] = [];
    let out = 0;
    for (const host of state.hostsByPool.get(pool) ?? []) {
      const known = state.hosts.get(host);
      if (known?.permit?.wave === name) out++;
      if (done?.has(host) === true || chosenHosts.has(host)) continue;
      if (known?.permit !== undefined || known?.health !== "in-service") {
        continue;
      }
      if (hasDecider(state, host, options)) hosts.push(host);
    }
    const capacity = capacities.get(pool) ?? poolCapacity(state, pool);
    capacities.set(pool, capacity);
    const batchSize = maxPlannedOutages(capacity);
    const batches = Math.ceil(hosts.length / Math.max(1, batchSize));
    return { pool, hosts: hosts.sort(), out, batches };
  }).sort((left, right) => right.batches - left.batches);
}

function hasDecider(
  state: FleetState,
  host: string,
  { nowMs }: PlanWaveOptions,
): boolean {
  const scope = getOwn(state.set.hosts, host)?.data_centre ?? "";
  return nowMs < (state.deciders.get(scope)?.leaseEndMs ?? 0);
}
