/**
 * Plans which machines move from one pool to another.
 *
 * @module
 */

import type { Machine } from "../fleet.ts";
import {
  countUsable,
  findShortages,
  type PoolState,
} from "./pool_shortages.ts";

/** Idle time after which a machine is returned to a standby pool. */
const MIN_IDLE_BEFORE_RETURN_MS = 2_500;

/** Idle time after which a machine may move to a pool with a shortage. */
const MIN_IDLE_BEFORE_MOVE_MS = 400;

/** Idle machines that each pool keeps for new jobs. */
const IDLE_MACHINES_KEPT = 1;

/** Move of a machine to a pool. */
export type Move = { machine: string; pool: string; reason: string };

/** Inputs of {@linkcode planMoves}. */
export type MovePlanInput = PoolState & {
  /** Machines with a pending order or selected for upkeep. */
  unavailable: ReadonlySet<string>;
  /** Time for which each idle executor has run nothing, in milliseconds. */
  idleMs: ReadonlyMap<string, number>;
  /** Pools whose machines are off and cost nothing. */
  standbyPools: ReadonlySet<string>;
  /** Returns the number of machines that a pool may not go below. */
  minSizeOf(pool: string): number;
};

/**
 * Plans moves of machines between pools. Pools with a shortage get machines of
 * standby pools first, then idle machines of other pools. Machines that stay
 * idle return to a standby pool, where they cost nothing, unless a pool is
 * short of machines. Only machines that run nothing are moved.
 *
 * @example
 * ```ts
 * for (const move of planMoves(input)) reserve(move.machine);
 * ```
 */
export function planMoves(input: MovePlanInput): Move[] {
  const moves: Move[] = [];
  const unavailable = new Set(input.unavailable);
  const sizes = countUsable(input.machines);
  const add = (machine: Machine, pool: string, reason: string) => {
    unavailable.add(machine.id);
    sizes.set(machine.pool, sizes.get(machine.pool)! - 1);
    moves.push({ machine: machine.id, pool, reason });
  };
  const candidates = findSpareMachines(input);
  const shortages = findShortages(input);
  for (const shortage of shortages) {
    const { pool, size, cpu } = shortage;
    const reason = `${Math.round(cpu)} mcpu on ${size} machines`;
    let { missing } = shortage;
    for (const machine of candidates) {
      if (missing <= 0) break;
      if (machine.pool === pool || unavailable.has(machine.id)) continue;
      if (!maySpare(machine, { input, sizes })) continue;
      add(machine, pool, reason);
      missing--;
    }
  }
  const standby = [...input.standbyPools][0];
  // One on its way to the standby pool could serve a short pool only seconds
  // later.
  if (standby === undefined || shortages.length > 0) return moves;
  const idleCounts = new Map<string, number>();
  for (const machine of input.machines) {
    if (unavailable.has(machine.id) || !isIdle(machine, input)) continue;
    const count = (idleCounts.get(machine.pool) ?? 0) + 1;
    idleCounts.set(machine.pool, count);
    if (count <= IDLE_MACHINES_KEPT) continue;
    const idleMs = input.idleMs.get(machine.executor!) ?? 0;
    if (
      idleMs < MIN_IDLE_BEFORE_RETURN_MS || !maySpare(machine, { input, sizes })
    ) continue;
    add(machine, standby, `idle for ${Math.round(idleMs)} ms`);
  }
  return moves;
}

/** Returns the machines that may be moved, those of standby pools first. */
function findSpareMachines(input: MovePlanInput): Machine[] {
  const standby = input.machines.filter((machine) =>
    machine.state === "up" && input.standbyPools.has(machine.pool)
  );
  const idle = input.machines.filter((machine) =>
    isIdle(machine, input) &&
    input.idleMs.get(machine.executor!)! >= MIN_IDLE_BEFORE_MOVE_MS
  );
  return [...standby, ...idle];
}

function isIdle(machine: Machine, input: MovePlanInput): boolean {
  return machine.state === "up" && !input.standbyPools.has(machine.pool) &&
    machine.executor !== undefined && input.idleMs.has(machine.executor);
}

function maySpare(
  machine: Machine,
  { input, sizes }: {
    input: MovePlanInput;
    sizes: ReadonlyMap<string, number>;
  },
): boolean {
  if (input.standbyPools.has(machine.pool)) return true;
  if ((input.demand.get(machine.pool)?.waitingCpu ?? 0) > 0) return false;
  return sizes.get(machine.pool)! > input.minSizeOf(machine.pool);
}
