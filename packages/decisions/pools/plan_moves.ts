/**
 * Plans moves of hosts between pools.
 *
 * @module
 */

import { chooseHostsToTakeOut } from "../budgets/choose_hosts_to_take_out.ts";
import type { PoolCapacity } from "../budgets/pool_capacity.ts";
import {
  type DeciderTerm,
  type PlannedRecord,
  planRecord,
} from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import type { WorkObservations } from "../waves/work_observation.ts";
import { planOpenMoves } from "./internal/plan_open_moves.ts";
import type { MovePlan } from "./move_plan.ts";
import { balancePools, type PoolBalance } from "./pool_balance.ts";
import {
  DONOR_MARGIN_HOSTS,
  MIN_SHORTAGE_HOSTS,
  type PoolImbalance,
} from "./shortage.ts";

/** Cost of a move in host seconds, for the drain, restart and warm-up. */
export const DEFAULT_MOVE_COST_S = 900;

/**
 * Smallest ratio of gain to cost for a move. A flood between two windows of the
 * demand estimate can appear as a shortage for 900 s, so a move waits longer
 * than that.
 */
export const MIN_GAIN_FACTOR = 1.1;

/**
 * Ratio of a host's idle time to the cost of a move after which its pool gives
 * it back. It is lower than for a shortage, since floods appear as shortages
 * but never as surpluses. The demand estimate shows a fall 15 minutes late, so
 * the host has then been idle for the cost of a move already; this adds the
 * time of one more window.
 */
export const SURPLUS_IDLE_FACTOR = 0.35;

/** Options of {@linkcode planMoves}. */
export type PlanMovesOptions = {
  term: DeciderTerm;
  /** Log time now in milliseconds. */
  nowMs: number;
  /** Average busy hosts by pool. */
  demand: ReadonlyMap<string, number>;
  /** Pools that lack hosts, from {@linkcode trackShortages}. */
  shortages: readonly PoolImbalance[];
  /** Pools with hosts to spare, from {@linkcode trackSurpluses}. */
  surpluses?: readonly PoolImbalance[];
  /** Cost of a move; {@linkcode DEFAULT_MOVE_COST_S} by default. */
  moveCostS?: number;
};

/**
 * Plans the next steps of open moves and starts new ones: first to the pools
 * that the set names for hosts, then to pools that lack hosts, then back to the
 * spare pool. A shortage is expected to last as long as it has lasted so far,
 * so short floods move no hosts.
 *
 * @example
 * ```ts
 * const plan = planMoves(state, observations, options);
 * ```
 */
export function planMoves(
  state: FleetState,
  observations: WorkObservations,
  options: PlanMovesOptions,
): MovePlan {
  const plan: MovePlan = { records: [], reboots: [], waiting: new Map() };
  planOpenMoves(state, observations, { plan, term: options.term });
  planRequestedMoves(state, plan, options);
  const balances = balancePools(state, options.demand);
  const capacities = new Map<string, PoolCapacity>();
  const picked = new Set<string>();
  const shortages = [...options.shortages].sort((left, right) =>
    right.hosts - left.hosts || (left.pool < right.pool ? -1 : 1)
  );
  for (const shortage of shortages) {
    planShortage(state, shortage, {
      plan,
      options,
      balances,
      capacities,
      picked,
    });
  }
  for (const surplus of options.surpluses ?? []) {
    planSurplus(state, surplus, {
      plan,
      options,
      balances,
      capacities,
      picked,
    });
  }
  return plan;
}

/** Returns a host of a pool with a long surplus to the spare pool. */
function planSurplus(
  state: FleetState,
  surplus: PoolImbalance,
  round: MoveRound,
): void {
  const { plan, options, balances } = round;
  const donor = balances.get(surplus.pool);
  const spare = [...balances.values()].find((balance) => balance.isSpare);
  if (donor === undefined || spare === undefined) return;
  // The balance includes moves that started since the surplus was measured.
  if (donor.hosts - 1 < donor.needed + DONOR_MARGIN_HOSTS) return;
  const idleS = (options.nowMs - surplus.sinceMs) / 1_000;
  const costS = options.moveCostS ?? DEFAULT_MOVE_COST_S;
  if (idleS <= SURPLUS_IDLE_FACTOR * costS) return;
  const host = pickHost(state, donor, round);
  if (host === undefined) return;
  donor.hosts--;
  if (getOwn(state.set.hosts, host)?.data_centre !== options.term.scope) return;
  const to = spare.pool;
  const reason = `Pool "${donor.pool}" has had a host to spare for ${
    Math.round(idleS)
  } s.`;
  plan.records.push(
    createMovePermit(state, { host, to, term: options.term, reason }),
  );
}

/**
 * Starts moves of hosts to the pools that the set names for them; the state
 * keeps such a pool as the `wish` of a host.
 */
function planRequestedMoves(
  state: FleetState,
  plan: MovePlan,
  { term }: PlanMovesOptions,
): void {
  const names: string[] = [];
  for (const [name, host] of state.hosts) {
    if (host.wish === undefined || host.permit !== undefined) continue;
    if (getOwn(state.set.hosts, name)?.data_centre === term.scope) {
      names.push(name);
    }
  }
  names.sort();
  const { hosts } = chooseHostsToTakeOut(state, { candidates: names });
  for (const host of hosts) {
    const to = state.hosts.get(host)?.wish ?? "";
    const reason = `The set names pool "${to}" for the host.`;
    plan.records.push(createMovePermit(state, { host, to, term, reason }));
  }
}

type MoveRound = {
  plan: MovePlan;
  options: PlanMovesOptions;
  balances: Map<string, PoolBalance>;
  /** Capacities that count the hosts picked in this round as out. */
  capacities: Map<string, PoolCapacity>;
  /** Hosts that this round moves. */
  picked: Set<string>;
};

/** Starts the move of a host to a pool whose shortage justifies the cost. */
function planShortage(
  state: FleetState,
  shortage: PoolImbalance,
  round: MoveRound,
): void {
  const { plan, options, balances } = round;
  const { pool } = shortage;
  const balance = balances.get(pool);
  // The balance includes moves that started since the shortage was measured.
  const lacking = (balance?.needed ?? 0) - (balance?.hosts ?? 0);
  if (lacking < MIN_SHORTAGE_HOSTS) return;
  const shortForS = (options.nowMs - shortage.sinceMs) / 1_000;
  const costS = options.moveCostS ?? DEFAULT_MOVE_COST_S;
  const gainS = Math.min(1, lacking) * shortForS;
  if (gainS <= MIN_GAIN_FACTOR * costS) {
    plan.waiting.set(
      pool,
      `The gain of ${
        Math.round(gainS)
      } host seconds until the expected end is not above ${MIN_GAIN_FACTOR} x ${costS}.`,
    );
    return;
  }
  for (const donor of listDonors(balances, pool)) {
    const host = pickHost(state, donor, round);
    if (host === undefined) continue;
    const scope = getOwn(state.set.hosts, host)?.data_centre;
    if (scope !== options.term.scope) {
      plan.waiting.set(pool, `The decider of "${scope}" moves "${host}".`);
      donor.hosts--;
      return;
    }
    const reason = `Pool "${pool}" lacks ${lacking.toFixed(1)} hosts since ${
      Math.round(shortForS)
    } s; "${donor.pool}" has ${
      (donor.hosts - donor.needed).toFixed(1)
    } more than it needs.`;
    plan.records.push(
      createMovePermit(state, { host, to: pool, term: options.term, reason }),
    );
    donor.hosts--;
    return;
  }
  plan.waiting.set(pool, "No pool can give away a host now.");
}

/** Returns the pools that can give away a host: spare ones, then by surplus. */
function listDonors(
  balances: Map<string, PoolBalance>,
  pool: string,
): PoolBalance[] {
  const order = (balance: PoolBalance) => balance.isSpare ? 1 : 0;
  return [...balances.values()]
    .filter((donor) => {
      const margin = donor.isSpare ? 0 : DONOR_MARGIN_HOSTS;
      return donor.pool !== pool && donor.hosts - 1 >= donor.needed + margin;
    })
    .sort((left, right) =>
      order(right) - order(left) ||
      (right.hosts - right.needed) - (left.hosts - left.needed) ||
      (left.pool < right.pool ? -1 : 1)
    );
}

/**
 * Picks a host to move, in any data centre with a decider. Deciders with the
 * same state pick the same host, so that a shortage moves one host at a time.
 */
function pickHost(
  state: FleetState,
  donor: PoolBalance,
  { options, capacities, picked }: MoveRound,
): string | undefined {
  const candidates = [...state.hostsByPool.get(donor.pool) ?? []]
    .filter((name) => {
      const host = state.hosts.get(name);
      const scope = getOwn(state.set.hosts, name)?.data_centre ?? "";
      return host?.permit === undefined && host?.health === "in-service" &&
        host.wish === undefined && !picked.has(name) &&
        options.nowMs < (state.deciders.get(scope)?.leaseEndMs ?? 0);
    }).sort();
  const maxOfPool = () => 1;
  const chosen = { candidates, maxOfPool, capacities };
  const host = chooseHostsToTakeOut(state, chosen).hosts[0];
  if (host !== undefined) picked.add(host);
  return host;
}

type MovePermitOptions = {
  host: string;
  to: string;
  term: DeciderTerm;
  reason: string;
};

function createMovePermit(
  state: FleetState,
  { host, to, term, reason }: MovePermitOptions,
): PlannedRecord {
  return planRecord(state, {
    type: "permit.granted",
    ...term,
    host,
    generation: state.hosts.get(host)?.generation ?? 0,
    purpose: "move",
    to,
    reason,
  });
}
