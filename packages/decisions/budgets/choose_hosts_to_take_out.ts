import type { FleetState } from "../fold/fleet_state.ts";
import { own } from "../fold/internal/outcomes.ts";
import {
  isAvailable,
  type PoolCapacity,
  poolCapacity,
  rackKey,
} from "./pool_capacity.ts";
import { countAsOut, findOutageBlocker } from "./find_outage_blocker.ts";

/** Hosts that may be out together, and why the others may not. */
export type TakeOutChoice = {
  hosts: string[];
  /** Reason by host that may not be out besides the chosen ones. */
  reasons: Map<string, string>;
};

/** Options of {@linkcode chooseHostsToTakeOut}. */
export type ChooseHostsToTakeOutOptions = {
  /** Hosts to choose from. */
  candidates: readonly string[];
  /** Most hosts to choose of a pool; all that budgets allow if absent. */
  maxOfPool?: (pool: string) => number;
  /** Counts to go on from, by pool; they are updated. */
  capacities?: Map<string, PoolCapacity>;
};

/**
 * Chooses hosts that may be out together under all budgets. The rack with most
 * candidates goes first, since the rack limits make it the last to finish; of
 * equal racks the one with most available hosts goes first, which keeps the
 * loss of one more rack small.
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
    // What holds for one host of the rack holds for the others, which are
    // sorted so that those that cost no capacity come first.
    for (const refused of [name, ...rest]) choice.reasons.set(refused, reason);
    racks.delete(rack);
  }
}

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
    const object = own(state.set.hosts, name);
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
