import type { FleetState } from "../fold/fleet_state.ts";
import { poolCapacity } from "./pool_capacity.ts";
import { requiredHosts } from "./pool_limits.ts";

/**
 * Returns why a pool cannot become the owner of one more host now, or undefined
 * if it can. The host joins while its permit is open, and a budget in percent
 * can demand one host more of the larger pool before it serves there.
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
