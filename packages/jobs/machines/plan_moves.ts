import type { Machine } from "../fleet.ts";
import type { ServiceDemand } from "./pool_report.ts";

/** Part of a pool's processor time in use above which it gets machines. */
const TARGET_LOAD = 0.7;

/** Part of a machine that the work above the target has to fill. */
const MIN_FILL = 0.5;

/** Idle time after which a machine goes back to a pool that is off. */
const SURPLUS_MS = 2_500;

/** Idle time after which another pool may take a machine. */
const LENDING_MS = 400;

/** Machines that run nothing which a pool keeps for the next jobs. */
const KEPT_IDLE = 1;

/** Move of a machine to a pool. */
export type Move = { machine: string; pool: string; reason: string };

/** Inputs of {@linkcode planMoves}. */
export type MoveView = {
  machines: readonly Machine[];
  /** Machines that are ordered elsewhere or due for upkeep now. */
  taken: ReadonlySet<string>;
  /** Pool that each moving machine goes to. */
  incoming: ReadonlyMap<string, string>;
  demand: ReadonlyMap<string, ServiceDemand>;
  /** Time in milliseconds for which each idle executor has run nothing. */
  idleMs: ReadonlyMap<string, number>;
  standbyPools: ReadonlySet<string>;
  /** Thousandths of a core of a machine. */
  machineCpu: number;
  /** Machines that each pool has at the least. */
  leastOf(pool: string): number;
};

/**
 * Plans moves: pools with more work than they can take get machines that are
 * off, then idle ones of other pools; machines that stay idle go back to where
 * they cost nothing. Only machines that run nothing are moved.
 *
 * @example
 * ```ts
 * for (const move of planMoves(view)) reserve(move.machine);
 * ```
 */
export function planMoves(view: MoveView): Move[] {
  const moves: Move[] = [];
  const taken = new Set(view.taken);
  const sizes = new Map<string, number>();
  for (const { pool, state } of view.machines) {
    if (state !== "up") continue;
    sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
  }
  const add = (machine: Machine, pool: string, reason: string) => {
    taken.add(machine.id);
    sizes.set(machine.pool, sizes.get(machine.pool)! - 1);
    moves.push({ machine: machine.id, pool, reason });
  };
  const sources = sourcesOf(view);
  for (const { pool, count, reason } of shortagesOf(view, sizes)) {
    let left = count;
    for (const machine of sources) {
      if (left <= 0) break;
      if (machine.pool === pool || taken.has(machine.id)) continue;
      if (!mayGive(machine, { view, sizes })) continue;
      add(machine, pool, reason);
      left--;
    }
  }
  const standby = [...view.standbyPools][0];
  if (standby === undefined) return moves;
  const kept = new Map<string, number>();
  for (const machine of view.machines) {
    if (taken.has(machine.id) || !isLendable(machine, view)) continue;
    const count = (kept.get(machine.pool) ?? 0) + 1;
    kept.set(machine.pool, count);
    if (count <= KEPT_IDLE) continue;
    const idleMs = view.idleMs.get(machine.executor!) ?? 0;
    if (idleMs < SURPLUS_MS || !mayGive(machine, { view, sizes })) continue;
    add(machine, standby, `idle for ${Math.round(idleMs)} ms`);
  }
  return moves;
}

type Shortage = { pool: string; count: number; reason: string };

function shortagesOf(
  view: MoveView,
  sizes: ReadonlyMap<string, number>,
): Shortage[] {
  const shortages: Shortage[] = [];
  for (const entry of view.demand.values()) {
    const { service, lastingCpu, runningCpu, waitingCpu } = entry;
    let size = sizes.get(service) ?? 0;
    for (const pool of view.incoming.values()) if (pool === service) size++;
    const cpu = lastingCpu + runningCpu + waitingCpu;
    const wanted = cpu / (TARGET_LOAD * view.machineCpu);
    const missing = Math.max(wanted, entry.leastExecutors) - size;
    if (missing < MIN_FILL) continue;
    shortages.push({
      pool: service,
      count: Math.ceil(missing),
      reason: `${Math.round(cpu)} mcpu on ${size} machines`,
    });
  }
  return shortages.sort((a, b) => b.count - a.count);
}

/** Returns the machines that may be moved, those that are off first. */
function sourcesOf(view: MoveView): Machine[] {
  const off = view.machines.filter((machine) =>
    machine.state === "up" && view.standbyPools.has(machine.pool)
  );
  const idle = view.machines.filter((machine) =>
    isLendable(machine, view) &&
    view.idleMs.get(machine.executor!)! >= LENDING_MS
  );
  return [...off, ...idle];
}

function isLendable(machine: Machine, view: MoveView): boolean {
  return machine.state === "up" && !view.standbyPools.has(machine.pool) &&
    machine.executor !== undefined && view.idleMs.has(machine.executor);
}

function mayGive(
  machine: Machine,
  { view, sizes }: { view: MoveView; sizes: ReadonlyMap<string, number> },
): boolean {
  if (view.standbyPools.has(machine.pool)) return true;
  if ((view.demand.get(machine.pool)?.waitingCpu ?? 0) > 0) return false;
  return sizes.get(machine.pool)! > view.leastOf(machine.pool);
}
