import { poolLimits, requiredHosts } from "../budgets/pool_limits.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import { own } from "../fold/internal/outcomes.ts";

/** Share of its slots that a pool uses on average at most. */
export const TARGET_UTILISATION = 0.8;

/**
 * Returns the hosts that a pool needs: for its work at the target utilisation,
 * for counted budgets, and at least its minimum.
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
  const minimum = own(state.set.pools, pool)?.min_hosts ?? 0;
  return Math.max(options.demand / TARGET_UTILISATION, budget, minimum);
}

/** Options of {@linkcode neededHosts}. */
export type NeededHostsOptions = {
  /** Busy hosts on average. */
  demand: number;
};
