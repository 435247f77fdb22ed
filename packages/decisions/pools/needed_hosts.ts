/**
 * Computes the number of hosts that a pool needs.
 *
 * @module
 */

import { poolLimits, requiredHosts } from "../budgets/pool_limits.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";

/** Largest share of its slots that a pool should use on average. */
export const TARGET_UTILISATION = 0.8;

/**
 * Returns the number of hosts that a pool needs: the largest of its demand at
 * the target utilisation, the hosts that budgets require as a count rather than
 * in percent, and the pool's minimum.
 *
 * @example
 * ```ts
 * const needed = neededHosts(state, "orders", { demand: 4.2 });
 * ```
 */
export function neededHosts(
  state: FleetState,
  pool: string,
  options: NeededHostsOptions,
): number {
  const budget = requiredHosts(poolLimits(state.set).get(pool), 0).value;
  const minimum = getOwn(state.set.pools, pool)?.min_hosts ?? 0;
  return Math.max(options.demand / TARGET_UTILISATION, budget, minimum);
}

/** Options of {@linkcode neededHosts}. */
export type NeededHostsOptions = {
  /** Average number of busy hosts. */
  demand: number;
};
