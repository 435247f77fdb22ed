/**
 * Compares the hosts of pools with the number that they need.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import { neededHosts } from "./needed_hosts.ts";

/** Hosts that a pool will have after open moves, and hosts that it needs. */
export type PoolBalance = {
  pool: string;
  /** Number of hosts after open moves, without failed ones. */
  hosts: number;
  /** Number of hosts that the pool needs; may be fractional. */
  needed: number;
  /** Whether the set marks it as a spare pool, which gives hosts to others. */
  isSpare: boolean;
};

/**
 * Compares the hosts of each pool with the number that it needs. Leaves out
 * failed and silent hosts, and counts a moving host for its new pool.
 *
 * @example
 * ```ts
 * const balances = balancePools(state, new Map([["orders", 4.2]]));
 * ```
 */
export function balancePools(
  state: FleetState,
  demand: ReadonlyMap<string, number>,
): Map<string, PoolBalance> {
  const balances = new Map<string, PoolBalance>();
  for (const pool of Object.keys(state.set.pools).sort()) {
    balances.set(pool, {
      pool,
      hosts: 0,
      needed: neededHosts(state, pool, { demand: demand.get(pool) ?? 0 }),
      isSpare: state.set.pools[pool]?.spare === true,
    });
  }
  for (const host of state.hosts.values()) {
    const isDown = host.health !== "in-service" && host.permit === undefined;
    if (isDown) continue;
    const isMoving = host.permit?.purpose === "move" &&
      host.movedAtMs < host.permit.grantedAtMs;
    const pool = isMoving ? host.permit?.to ?? host.owner : host.owner;
    const balance = balances.get(pool);
    if (balance !== undefined) balance.hosts++;
  }
  return balances;
}
