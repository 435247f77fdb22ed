/**
 * Chooses hosts that may be taken out of service together under all budgets.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import { countAsOut, findOutageBlocker } from "./find_outage_blocker.ts";
import {
  isAvailable,
  type PoolCapacity,
  poolCapacity,
  rackKey,
} from "./pool_capacity.ts";

/** Hosts that may be taken out together, and why the others may not. */
export type TakeOutChoice = {
  hosts: string[];
  /** Reasons of the hosts that may not be out together with the chosen ones. */
  reasons: Map<string, string>;
};

/** Options of {@linkcode chooseHostsToTakeOut}. */
export type ChooseHostsToTakeOutOptions = {
  /** Hosts to choose from. */
  candidates: readonly string[];
  /** Limit on the hosts chosen of a pool; without it, budgets alone decide. */
  maxOfPool?: (pool: string) => number;
  /** Capacities by pool to start from; chosen hosts are counted as out. */
  capacities?: Map<string, PoolCapacity>;
};

/**
 * Chooses hosts that may be out of service together under all budgets. Takes
 * hosts of the rack with the most candidates first, since the limits per rack
 * make it the last to finish. Among equal racks it prefers the one with the
 * most available hosts, which keeps the loss of a further rack small.
 *
 * @example
 * ```ts
 * const { hosts } = chooseHostsToTakeOut(state, { candidates: ["host-1"] });
 * ```
 */
export function chooseHostsToTakeOut(
  state: FleetState,
  options: ChooseHostsToTakeOutOptions,
): TakeOutChoice {
  const capacities = options.capacities ?? new Map<string, PoolCapacity>();
  const choice: TakeOutChoice = { hosts: [], reasons: new Map() };
  for (const [pool, names] of groupByOwner(state, options.candidates)) {
    const capacity = capacities.get(pool) ?? poolCapacity(state, pool);
    capacities.set(pool, capacity);
    const limit = options.maxOfPool?.(pool) ?? Infinity;
    chooseOfPool(state, capacity, { names, choice, limit });
  }
  return choice;
}

type PoolChoiceOptions = {
  names: string[];
  choice: TakeOutChoice;
  limit: number;
};

function chooseOfPool(
  state: FleetState,
  capacity: PoolCapacity,
  { names, choice, limit }: PoolChoiceOptions,
): void {
  const racks = groupByRack(state, names);
  const before = choice.hosts.length;
  while (racks.size > 0) {
    if (choice.hosts.length - before >= limit) {
      const reason =
        `At most ${limit} hosts of "${capacity.pool}" are taken out now.`;
      for (const rest of racks.values()) {
        for (const name of rest) choice.reasons.set(name, reason);
      }
      return;
    }
    const rack = chooseRack(racks, capacity);
    const rest = racks.get(rack) ?? [];
    const name = rest.shift();
    if (rest.length === 0) racks.delete(rack);
    if (name === undefined) continue;
    const reason = findOutageBlocker(state, capacity, name);
    if (reason === undefined) {
      countAsOut(state, capacity, name);
      choice.hosts.push(name);
      continue;
    }
    // If one host of the rack may not go, neither may the rest: hosts that are
    // unavailable anyway, and thus cost no capacity, are sorted first.
    for (const refused of [name, ...rest]) choice.reasons.set(refused, reason);
    racks.delete(rack);
  }
}

/** Returns the rack with the most candidates, then most available hosts. */
function chooseRack(
  racks: Map<string, string[]>,
  capacity: PoolCapacity,
): string {
  let best = "";
  let bestScore = -1;
  for (const [rack, names] of racks) {
    const available = capacity.racks.get(rack)?.available ?? 0;
    const score = names.length * 1_000 + available;
    if (score > bestScore) {
      best = rack;
      bestScore = score;
    }
  }
  return best;
}

function groupByOwner(
  state: FleetState,
  names: readonly string[],
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const name of names) {
    const pool = state.hosts.get(name)?.owner;
    if (pool !== undefined) appendToGroup(groups, pool, name);
  }
  return groups;
}

function groupByRack(
  state: FleetState,
  names: readonly string[],
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const name of names) {
    const object = getOwn(state.set.hosts, name);
    if (object !== undefined) appendToGroup(groups, rackKey(object), name);
  }
  for (const group of groups.values()) {
    group.sort((left, right) =>
      Number(isAvailable(state, left)) - Number(isAvailable(state, right))
    );
  }
  return groups;
}

function appendToGroup(
  groups: Map<string, string[]>,
  key: string,
  value: string,
) {
  const group = groups.get(key);
  if (group === undefined) groups.set(key, [value]);
  else group.push(value);
}
