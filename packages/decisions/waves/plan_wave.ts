import type { Wave } from "@lagoonloom/objects";
import { hostsThatMayBeOut } from "../budgets/hosts_that_may_be_out.ts";
import type { PoolCapacity } from "../budgets/pool_capacity.ts";
import {
  type DeciderTerm,
  type PlannedRecord,
  planRecord,
} from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { own } from "../fold/internal/outcomes.ts";
import { BAD_HOSTS, waveEvidence } from "./wave_evidence.ts";
import {
  isBack,
  isEmptied,
  type WorkObservations,
} from "./work_observation.ts";

/**
 * Hosts that are out before the first ones of a wave have returned well. A
 * fault of the new version then costs few hosts; the ones in the pools with
 * most work left per free place go first, so the wave is hardly longer.
 */
export const FIRST_HOSTS = 4;

/** Hosts that have to return well before a wave runs at full width. */
export const FIRST_GOOD_HOSTS = 2;

/**
 * Multiple of the outage for which slow hosts pause a wave. Unlike a failed
 * host, a slow one that is back does not show whether the cause is gone, so the
 * wave tries a few hosts again.
 */
export const SLOW_PAUSE_FACTOR = 5;

/** Most permits of one round, which keeps a round short. */
export const MAX_PERMITS_PER_ROUND = 64;

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
  /** Hosts that are empty and restart now; repeating it is harmless. */
  reboots: string[];
  /** Reason by host that waits for its turn. */
  waiting: Map<string, string>;
};

/**
 * Plans the next steps of all waves in a data centre: pauses and resumptions,
 * restarts of emptied hosts, returns and new permits. Urgent waves go before
 * routine ones, then the wave that has to finish first.
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
  planHostsThatAreOut(state, observations, { plan, options });
  const capacities = new Map<string, PoolCapacity>();
  const taken = new Set<string>();
  for (const [name, wave] of waves) {
    const change = planWaveState(state, name, { wave, options });
    if (change !== undefined) plan.records.push(change);
    const isRunning = state.waves.get(name)?.state === "running";
    if (!isRunning || change !== undefined) continue;
    planPermits(state, name, { wave, options, plan, capacities, taken });
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

type OutOptions = { plan: WavePlan; options: PlanWaveOptions };

function planHostsThatAreOut(
  state: FleetState,
  observations: WorkObservations,
  { plan, options }: OutOptions,
): void {
  for (const [name, host] of state.hosts) {
    if (host.permit?.wave === undefined || !isInScope(state, name, options)) {
      continue;
    }
    const observation = observations.get(name);
    if (isBack(host, observation, { sinceMs: host.permit.grantedAtMs })) {
      plan.records.push(planRecord(state, {
        type: "permit.returned",
        ...options.term,
        host: name,
        generation: host.generation,
        outcome: "done",
        reason: `Maintained by wave "${host.permit.wave}" and in service.`,
      }));
    } else if (host.health === "in-service" && isEmptied(observation)) {
      plan.reboots.push(name);
    }
  }
}

function isInScope(
  state: FleetState,
  host: string,
  { term }: PlanWaveOptions,
): boolean {
  return own(state.set.hosts, host)?.data_centre === term.scope;
}

type WaveOptions = { wave: Wave; options: PlanWaveOptions };

function planWaveState(
  state: FleetState,
  name: string,
  { wave, options }: WaveOptions,
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
  const { bad, slow } = waveEvidence(state, { wave: name, ...options });
  if (current.state === "paused") {
    const pausedMs = options.nowMs - current.sinceMs;
    const isTooEarly = pausedMs < 1_000 * SLOW_PAUSE_FACTOR * wave.outage_s;
    if (bad.length > 0 || (slow.length > 0 && isTooEarly)) return undefined;
    return change("running", "All hosts of the wave are back in service.");
  }
  if (bad.length + slow.length >= BAD_HOSTS) {
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
  taken: Set<string>;
};

function planPermits(
  state: FleetState,
  name: string,
  { wave, options, plan, capacities, taken }: PermitOptions,
): void {
  const candidates = candidatesOf(state, name, wave)
    .filter((host) => isInScope(state, host, options) && !taken.has(host));
  const { good, out } = waveEvidence(state, { wave: name, ...options });
  const isProven = good >= FIRST_GOOD_HOSTS;
  const room = isProven ? Infinity : Math.max(0, FIRST_HOSTS - out);
  const limit = Math.min(room, MAX_PERMITS_PER_ROUND - taken.size);
  const choice = hostsThatMayBeOut(state, { candidates, limit, capacities });
  for (const [host, reason] of choice.reasons) plan.waiting.set(host, reason);
  for (const host of choice.hosts) {
    taken.add(host);
    plan.waiting.delete(host);
    plan.records.push(planRecord(state, {
      type: "permit.granted",
      ...options.term,
      host,
      generation: state.hosts.get(host)?.generation ?? 0,
      purpose: "reboot",
      wave: name,
      reason: isProven
        ? `Wave "${name}": all budgets hold with the host out.`
        : `Wave "${name}": one of the first hosts, before the others follow.`,
    }));
  }
}

/** Hosts that the wave still has to maintain, tightest pools first. */
function candidatesOf(state: FleetState, name: string, wave: Wave): string[] {
  const done = state.waves.get(name)?.done;
  const pools = wave.pools.map((pool) => {
    const hosts = [...state.hostsByPool.get(pool) ?? []].filter((host) => {
      const known = state.hosts.get(host);
      return done?.has(host) !== true && known?.permit === undefined &&
        known?.health === "in-service";
    }).sort();
    return hosts;
  });
  return pools.sort((left, right) => right.length - left.length).flat();
}
