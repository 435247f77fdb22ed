/**
 * Tracks since when pools lack hosts or have hosts to spare.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import { balancePools } from "./pool_balance.ts";

/** Shortage or surplus of a pool. */
export type PoolImbalance = {
  pool: string;
  /** Number of hosts that the pool lacks or has to spare. */
  hosts: number;
  /** Log time in milliseconds since which it lasts. */
  sinceMs: number;
};

/** Smallest number of lacking hosts that counts as a shortage. */
export const MIN_SHORTAGE_HOSTS = 0.1;

/** Number of hosts above its need that a pool keeps after giving one away. */
export const DONOR_MARGIN_HOSTS = 0.1;

/** Options of {@linkcode trackShortages}. */
export type TrackShortagesOptions = {
  /** Average number of busy hosts by pool. */
  demand: ReadonlyMap<string, number>;
  /** Log time now in milliseconds. */
  nowMs: number;
};

/**
 * Returns the pools that lack hosts now. A pool that lacked hosts before keeps
 * the start of its shortage.
 *
 * @example
 * ```ts
 * const shortages = trackShortages(state, before, { demand, nowMs });
 * ```
 */
export function trackShortages(
  state: FleetState,
  before: readonly PoolImbalance[],
  { demand, nowMs }: TrackShortagesOptions,
): PoolImbalance[] {
  const since = new Map(before.map((entry) => [entry.pool, entry.sinceMs]));
  const shortages: PoolImbalance[] = [];
  for (const { pool, hosts, needed } of balancePools(state, demand).values()) {
    if (needed - hosts < MIN_SHORTAGE_HOSTS) continue;
    shortages.push({
      pool,
      hosts: needed - hosts,
      sinceMs: since.get(pool) ?? nowMs,
    });
  }
  return shortages;
}

/**
 * Returns the pools, except spare ones, that would still have enough hosts
 * without one of theirs. A pool that had a surplus before keeps its start.
 *
 * @example
 * ```ts
 * const surpluses = trackSurpluses(state, before, { demand, nowMs });
 * ```
 */
export function trackSurpluses(
  state: FleetState,
  before: readonly PoolImbalance[],
  { demand, nowMs }: TrackShortagesOptions,
): PoolImbalance[] {
  const since = new Map(before.map((entry) => [entry.pool, entry.sinceMs]));
  const surpluses: PoolImbalance[] = [];
  for (const balance of balancePools(state, demand).values()) {
    const { pool, hosts, needed, isSpare } = balance;
    if (isSpare || hosts - 1 < needed + DONOR_MARGIN_HOSTS) continue;
    const sinceMs = since.get(pool) ?? nowMs;
    surpluses.push({ pool, hosts: hosts - needed, sinceMs });
  }
  return surpluses;
}
