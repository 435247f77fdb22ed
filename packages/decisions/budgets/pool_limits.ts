import {
  type Budget,
  minAvailableHosts,
  type ObjectSet,
} from "@lagoonloom/objects";
import { own } from "../fold/internal/outcomes.ts";

/** Limit that one budget sets, with its name for reasons. */
export type BudgetLimit = { budget: string; value: number };

/** All budgets of the services whose home is one pool. */
export type PoolLimits = {
  budgets: { name: string; budget: Budget }[];
  perRack: BudgetLimit | undefined;
  perDataCentre: BudgetLimit | undefined;
};

const limitsCache = new WeakMap<ObjectSet, Map<string, PoolLimits>>();

/**
 * Returns the budgets of a set by home pool. The result is kept as long as the
 * set, which is never changed in place.
 *
 * @example
 * ```ts
 * const limits = poolLimits(state.set).get("orders");
 * ```
 */
export function poolLimits(set: ObjectSet): Map<string, PoolLimits> {
  const known = limitsCache.get(set);
  if (known !== undefined) return known;
  const limits = new Map<string, PoolLimits>();
  // Sorted, so that of two equal limits every daemon names the same one.
  for (const name of Object.keys(set.budgets).sort()) {
    const budget = set.budgets[name]!;
    const pool = own(set.services, budget.service)?.pool;
    if (pool === undefined) continue;
    const entry = limits.get(pool) ?? emptyLimits();
    limits.set(pool, entry);
    entry.budgets.push({ name, budget });
    entry.perRack = minLimit(entry.perRack, name, budget.max_out_per_rack);
    entry.perDataCentre = minLimit(
      entry.perDataCentre,
      name,
      budget.max_out_per_data_centre,
    );
  }
  limitsCache.set(set, limits);
  return limits;
}

/**
 * Returns the most hosts that any budget demands of a pool of some size.
 *
 * @example
 * ```ts
 * const required = requiredHosts(limits, 8).value;
 * ```
 */
export function requiredHosts(
  limits: PoolLimits | undefined,
  total: number,
): BudgetLimit {
  let required: BudgetLimit = { budget: "none", value: 0 };
  for (const { name, budget } of limits?.budgets ?? []) {
    const value = minAvailableHosts(budget, total);
    if (value > required.value) required = { budget: name, value };
  }
  return required;
}

function emptyLimits(): PoolLimits {
  return {
    budgets: [],
    perRack: undefined,
    perDataCentre: undefined,
  };
}

function minLimit(
  limit: BudgetLimit | undefined,
  budget: string,
  value: number | undefined,
): BudgetLimit | undefined {
  if (value === undefined) return limit;
  if (limit !== undefined && limit.value <= value) return limit;
  return { budget, value };
}
