import { chooseHostsToTakeOut } from "../budgets/choose_hosts_to_take_out.ts";
import type { PoolCapacity } from "../budgets/pool_capacity.ts";
import {
  type DeciderTerm,
  type PlannedRecord,
  planRecord,
} from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { own } from "../fold/internal/outcomes.ts";
import type { WorkObservations } from "../waves/work_observation.ts";
import { planOpenMoves } from "./internal/plan_open_moves.ts";
import { balancePools, type PoolBalance } from "./pool_balance.ts";
import {
  DONOR_MARGIN_HOSTS,
  MIN_SHORTAGE_HOSTS,
  type PoolImbalance,
} from "./shortage.ts";

/** Cost of a move in host seconds: drain, restart and warm-up. */
export const DEFAULT_MOVE_COST_S = 900;

/**
 * Gain over cost that a move has to promise. A flood between two windows of the
 * demand estimate can show as a shortage for 900 s, so a move waits longer.
 */
export const MIN_GAIN_FACTOR = 1.1;

/**
 * Idle time over the cost of a move after which a pool gives a host back. It is
 * shorter than for a shortage: floods look like shortages, never like surplus.
 * The demand estimate shows a fall 15 minutes late, so by then the host has
 * already been idle for the cost of a move; the rest is one more window.
 */
export const SURPLUS_IDLE_FACTOR = 0.35;

/** Options of {@linkcode planMoves}. */
export type PlanMovesOptions = {
  term: DeciderTerm;
  /** Log time now in milliseconds. */
  nowMs: number;
  /** Average busy hosts by pool. */
  demand: ReadonlyMap<string, number>;
  /** Shortages and since when, from {@linkcode trackShortages}. */
  shortages: readonly PoolImbalance[];
  /** Hosts to spare and since when, from {@linkcode trackSurpluses}. */
  surpluses?: readonly PoolImbalance[];
  moveCostS?: number;
};

/** Next steps of the moves in one data centre. */
export type MovePlan = {
  records: PlannedRecord[];
  /** Hosts that belong to their new pool and restart now. */
  reboots: string[];
  /** Reason by pool that is short and gets no host now. */
  waiting: Map<string, string>;
};

/**
 * Plans the next steps of open moves and begins new ones: wishes of the set
 * first, then moves to pools that are short. The expected end of a shortage
 * lies as far ahead as its beginning lies back, so short floods move nothing.
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
  planWishes(state, plan, options);
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

/** Gives a host that has been idle for long back to the spare pool. */
function planSurplus(
  state: FleetState,
  surplus: PoolImbalance,
  context: MoveRound,
): void {
  const { plan, options, balances } = context;
  const donor = balances.get(surplus.pool);
  const spare = [...balances.values()].find((balance) => balance.isSpare);
  if (donor === undefined || spare === undefined) return;
  // Moves that began since the surplus was seen count already.
  if (donor.hosts - 1 < donor.needed + DONOR_MARGIN_HOSTS) return;
  const idleS = (options.nowMs - surplus.sinceMs) / 1_000;
  const costS = options.moveCostS ?? DEFAULT_MOVE_COST_S;
  if (idleS <= SURPLUS_IDLE_FACTOR * costS) return;
  const host = pickHost(state, donor, context);
  if (host === undefined) return;
  donor.hosts--;
  if (own(state.set.hosts, host)?.data_centre !== options.term.scope) return;
  const to = spare.pool;
  const reason = `Pool "${donor.pool}" has had a host to spare for ${
    Math.round(idleS)
  } s.`;
  plan.records.push(
    createMovePermit(state, { host, to, term: options.term, reason }),
  );
}

function planWishes(
  state: FleetState,
  plan: MovePlan,
  { term }: PlanMovesOptions,
): void {
  const names: string[] = [];
  for (const [name, host] of state.hosts) {
    if (host.wish === undefined || host.permit !== undefined) continue;
    if (own(state.set.hosts, name)?.data_centre === term.scope) {
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
  /** Counts with the hosts that this round takes out. */
  capacities: Map<string, PoolCapacity>;
  picked: Set<string>;
};

function planShortage(
  state: FleetState,
  shortage: PoolImbalance,
  context: MoveRound,
): void {
  const { plan, options, balances } = context;
  const { pool } = shortage;
  const balance = balances.get(pool);
  // Moves that began since the shortage was seen count already.
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
    const host = pickHost(state, donor, context);
    if (host === undefined) continue;
    const scope = own(state.set.hosts, host)?.data_centre;
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

/** Pools that can give away a host: spare ones first, then by surplus. */
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
 * Picks a host in any data centre that has a decider now. Deciders with the
 * same state pick the same host, so that one shortage moves one host at a time.
 */
function pickHost(
  state: FleetState,
  donor: PoolBalance,
  { options, capacities, picked }: MoveRound,
): string | undefined {
  const candidates = [...state.hostsByPool.get(donor.pool) ?? []]
    .filter((name) => {
      const host = state.hosts.get(name);
      const scope = own(state.set.hosts, name)?.data_centre ?? "";
      return host?.permit === undefined && host?.health === "in-service" &&
        host.wish === undefined && !picked.has(name) &&
        options.nowMs < (state.deciders.get(scope)?.leaseEndMs ?? 0);
    }).sort();
  const perPool = () => 1;
  const chosen = { candidates, perPool, capacities };
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
