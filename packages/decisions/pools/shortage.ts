import type { FleetState } from "../fold/fleet_state.ts";
import { balancePools } from "./pool_balance.ts";

/** Hosts that a pool lacks or could give away, and since when. */
export type PoolImbalance = {
  pool: string;
  hosts: number;
  sinceMs: number;
};

/** Smallest shortage in hosts that counts. */
export const MIN_SHORTAGE_HOSTS = 0.1;

/** Hosts that a pool keeps above its need when it gives one away. */
export const DONOR_MARGIN_HOSTS = 0.1;

/** Options of {@linkcode trackShortages}. */
export type TrackShortagesOptions = {
  demand: ReadonlyMap<string, number>;
  nowMs: number;
};

/**
 * Returns the pools that lack hosts now. A pool that was short before keeps the
 * time at which its shortage began.
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
 * Returns the pools, spare ones apart, that would keep more than they need
 * without one of their hosts. A pool that had such a host before keeps the time
 * since which it has one.
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
