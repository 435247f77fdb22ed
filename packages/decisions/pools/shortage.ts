import type { FleetState } from "../fold/fleet_state.ts";
import { balancePools } from "./pool_balance.ts";

/** Hosts that a pool lacks, and since when. */
export type Shortage = {
  pool: string;
  hosts: number;
  sinceMs: number;
};

/** Smallest shortage in hosts that counts. */
export const MIN_SHORTAGE = 0.5;

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
  before: readonly Shortage[],
  { demand, nowMs }: TrackShortagesOptions,
): Shortage[] {
  const since = new Map(before.map((entry) => [entry.pool, entry.sinceMs]));
  const shortages: Shortage[] = [];
  for (const { pool, hosts, needed } of balancePools(state, demand).values()) {
    if (needed - hosts < MIN_SHORTAGE) continue;
    shortages.push({
      pool,
      hosts: needed - hosts,
      sinceMs: since.get(pool) ?? nowMs,
    });
  }
  return shortages;
}
