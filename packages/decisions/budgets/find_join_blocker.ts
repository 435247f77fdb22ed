import type { FleetState } from "../fold/fleet_state.ts";
import { poolCapacity } from "./pool_capacity.ts";
import { requiredHosts } from "./pool_limits.ts";

/**
 * Returns the reason why a pool cannot become the owner of one more host now,
 * or undefined if it can. The host is still out of service when it joins, while
 * a budget in percent may at once require one more host of the larger pool.
 *
 * @example
 * ```ts
 * const reason = findJoinBlocker(state, "orders");
 * ```
 */
export function findJoinBlocker(
  state: FleetState,
  pool: string,
): string | undefined {
  const { total, available, limits } = poolCapacity(state, pool);
  const now = requiredHosts(limits, total).value;
  const { budget, value } = requiredHosts(limits, total + 1);
  if (value === now || available >= value) return undefined;
  return `Budget "${budget}" demands ${value} hosts of "${pool}" once the host belongs to it; ${available} are available.`;
}
