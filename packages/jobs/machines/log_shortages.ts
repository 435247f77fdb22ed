/**
 * Log of the pools that are short of machines.
 *
 * @module
 */

import type { JobEventLog } from "../job_event_log.ts";
import type { Move } from "./plan_moves.ts";
import { findShortages, type PoolState } from "./pool_shortages.ts";

/** What becomes of the machines while a pool is short. */
export type MachineUse = {
  /** Moves that are ordered next. */
  moves: readonly Move[];
  standbyPools: ReadonlySet<string>;
  /** Number of machines that are in upkeep or ordered into it. */
  inUpkeep: number;
  /** Returns whether a machine certainly runs nothing. */
  isIdle(machine: string): boolean;
};

/** Logs each pool that is short, and what becomes of the other machines. */
export function logShortages(
  events: JobEventLog,
  state: PoolState,
  { moves, standbyPools, inUpkeep, isIdle }: MachineUse,
): void {
  const moved = new Set(moves.map(({ machine }) => machine));
  const destinations = [
    ...state.destinations.values(),
    ...moves.map(({ pool }) => pool),
  ];
  const toStandby = destinations.filter((pool) => standbyPools.has(pool));
  for (const { pool, size, missing, cpu } of findShortages(state)) {
    const idle = state.machines.filter((machine) =>
      machine.pool !== pool && !moved.has(machine.id) && isIdle(machine.id)
    );
    events.log("poolShort", {
      pool,
      cpu: Math.round(cpu),
      machines: size,
      missing,
      ordered: moves.filter((move) => move.pool === pool).length,
      inUpkeep,
      toStandby: toStandby.length,
      idleElsewhere: idle.length,
    });
  }
}
