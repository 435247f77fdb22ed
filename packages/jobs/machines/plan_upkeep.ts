import type { Machine, UpkeepWave } from "../fleet.ts";

/** Time that a machine is away for upkeep and for emptying, in milliseconds. */
const ROUND_MS = 5_000;

/** Time before the end of a wave at which it should be over. */
const RESERVE_MS = 4_000;

/** Wave of upkeep and what has become of it. */
export type OpenWave = {
  wave: UpkeepWave;
  /** Steady time at which the wave should be over, in milliseconds. */
  dueAtMs: number;
  /** Machines whose upkeep has begun. */
  begun: ReadonlySet<string>;
};

/** Inputs of {@linkcode planUpkeep}. */
export type UpkeepView = {
  waves: readonly OpenWave[];
  machines: ReadonlyMap<string, Machine>;
  /** Machines that may be down for upkeep now. */
  down: ReadonlySet<string>;
  /** Machines with an order on its way. */
  ordered: ReadonlySet<string>;
  /** Executors that run nothing. */
  idle: ReadonlySet<string>;
  /** Names of the pools whose machines are off. */
  standbyPools: ReadonlySet<string>;
  /** Share of a pool's capacity that is in use. */
  loadOf(pool: string): number;
  nowMs: number;
};

/** Machines to empty for upkeep, by wave. */
export type UpkeepPlan = Map<string, number>;

/**
 * Chooses the machines that are emptied for upkeep next: those that run
 * nothing at once, others only as fast as the wave's end asks for, and those
 * of the pools with the least load first. Never more than the wave allows to
 * be down, and never more than a third of a pool that is in use.
 *
 * @example
 * ```ts
 * for (const [machine, wave] of planUpkeep(view)) reserve(machine);
 * ```
 */
export function planUpkeep(view: UpkeepView): UpkeepPlan {
  const plan: UpkeepPlan = new Map();
  const takenByPool = countAway(view);
  for (const open of view.waves) {
    const left = open.wave.machines
      .map((id) => view.machines.get(id))
      .filter((machine): machine is Machine =>
        machine?.state === "up" && !open.begun.has(machine.id) &&
        !view.ordered.has(machine.id) && !plan.has(machine.id)
      );
    const downNow = open.wave.machines.filter((id) => view.down.has(id)).length;
    let slots = open.wave.maxDown - downNow;
    let paced = pacedCount(left.length, open, view.nowMs) - downNow;
    left.sort((a, b) => rankOf(a, view) - rankOf(b, view));
    for (const machine of left) {
      if (slots <= 0) break;
      const isFree = isUnused(machine, view);
      if (!isFree && paced <= 0) break;
      if (!mayLeave(machine, { view, takenByPool })) continue;
      plan.set(machine.id, open.wave.wave);
      addAway(takenByPool, machine.pool);
      slots--;
      paced--;
    }
  }
  return plan;
}

/** Returns how many machines have to be away at once to end in time. */
function pacedCount(left: number, open: OpenWave, nowMs: number): number {
  const leftMs = Math.max(open.dueAtMs - RESERVE_MS - nowMs, 1);
  return Math.max(1, Math.ceil(left * ROUND_MS / leftMs));
}

function isUnused(machine: Machine, view: UpkeepView): boolean {
  if (view.standbyPools.has(machine.pool)) return true;
  return machine.executor !== undefined && view.idle.has(machine.executor);
}

function rankOf(machine: Machine, view: UpkeepView): number {
  if (view.standbyPools.has(machine.pool)) return -1;
  return view.loadOf(machine.pool) + (isUnused(machine, view) ? 0 : 1);
}

/** Largest part of a pool in use that may be away for upkeep. */
const MAX_AWAY_SHARE = 1 / 3;

function mayLeave(
  machine: Machine,
  { view, takenByPool }: {
    view: UpkeepView;
    takenByPool: ReadonlyMap<string, number>;
  },
): boolean {
  if (view.standbyPools.has(machine.pool)) return true;
  let size = 0;
  for (const { pool } of view.machines.values()) {
    if (pool === machine.pool) size++;
  }
  const allowed = Math.max(1, Math.floor(size * MAX_AWAY_SHARE));
  return (takenByPool.get(machine.pool) ?? 0) < allowed;
}

function countAway(view: UpkeepView): Map<string, number> {
  const away = new Map<string, number>();
  for (const { id, pool, state } of view.machines.values()) {
    if (state !== "up" || view.ordered.has(id)) addAway(away, pool);
  }
  return away;
}

function addAway(away: Map<string, number>, pool: string): void {
  away.set(pool, (away.get(pool) ?? 0) + 1);
}
