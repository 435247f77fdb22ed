/**
 * Limits that the budgets of services set for their home pools.
 *
 * @module
 */

import {
  type Budget,
  minAvailableHosts,
  type ObjectSet,
} from "@lagoonloom/objects";
import { getOwn } from "../fold/internal/outcomes.ts";

/** Limit, with the name of the budget that sets it. */
export type BudgetLimit = { budget: string; value: number };

/** Budgets of all services with the same home pool. */
export type PoolLimits = {
  budgets: { name: string; budget: Budget }[];
  /** Strictest limit on planned outages per rack. */
  perRack: BudgetLimit | undefined;
  /** Strictest limit on planned outages per data centre. */
  perDataCentre: BudgetLimit | undefined;
};

const limitsCache = new WeakMap<ObjectSet, Map<string, PoolLimits>>();

/**
 * Returns the budgets of a set by home pool. The result is cached with the set,
 * which is immutable.
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
  // Sorted, so that all daemons name the same budget of two with equal limits.
  for (const name of Object.keys(set.budgets).sort()) {
    const budget = set.budgets[name]!;
    const pool = getOwn(set.services, budget.service)?.pool;
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
 * Returns the number of available hosts that the strictest budget requires of a
 * pool with a total number of hosts.
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

/** Returns the lower of a limit and another budget's value, if it has one. */
function minLimit(
  limit: BudgetLimit | undefined,
  budget: string,
  value: number | undefined,
): BudgetLimit | undefined {
  if (value === undefined) return limit;
  if (limit !== undefined && limit.value <= value) return limit;
  return { budget, value };
}
