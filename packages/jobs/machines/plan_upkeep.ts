/**
 * Plans which machines are drained next for the upkeep that operators request.
 *
 * @module
 */

import type { Machine, UpkeepWave } from "../fleet.ts";

/** Expected time to drain and maintain one machine. */
const MACHINE_UPKEEP_MS = 5_000;

/** Time by which a wave is planned to finish before its deadline. */
const DEADLINE_MARGIN_MS = 4_000;

/** Upkeep wave that is not completed, and its progress. */
export type ActiveWave = {
  wave: UpkeepWave;
  /** Monotonic time of the deadline of the wave, in milliseconds. */
  dueAtMs: number;
  /** Machines whose upkeep has started. */
  startedMachines: ReadonlySet<string>;
};

/** Inputs of {@linkcode planUpkeep}. */
export type UpkeepPlanInput = {
  waves: readonly ActiveWave[];
  machines: ReadonlyMap<string, Machine>;
  /** Machines that are in upkeep or ordered into it. */
  down: ReadonlySet<string>;
  /** Machines with an order that has not taken effect. */
  ordered: ReadonlySet<string>;
  /** Machines that the previous plan selected, which are draining since. */
  draining: ReadonlySet<string>;
  /** Executors that run nothing. */
  idle: ReadonlySet<string>;
  /** Pools whose machines are off and cost nothing. */
  standbyPools: ReadonlySet<string>;
  /** Whether a pool has fewer machines than its demand needs. */
  isPoolShort: boolean;
  /** Returns the demand of a pool per machine, to compare pools. */
  loadOf(pool: string): number;
  nowMs: number;
};

/** Wave number by machine that is to be drained for upkeep. */
export type UpkeepPlan = Map<string, number>;

/**
 * Selects the machines to drain for upkeep next. Idle machines are selected at
 * once, busy ones only as fast as the deadline of the wave requires. While a
 * pool is short of machines, this pace holds for idle ones, too, of which those
 * on standby come last. A busy machine stays selected until it is drained;
 * otherwise, the machines of the pools with the least load come first. At most
 * as many machines as the wave allows are down at a time, and at most a third
 * of a pool that is not on standby.
 *
 * @example
 * ```ts
 * for (const [machine, wave] of planUpkeep(input)) reserve(machine);
 * ```
 */
export function planUpkeep(input: UpkeepPlanInput): UpkeepPlan {
  const plan: UpkeepPlan = new Map();
  const unavailableByPool = countUnavailable(input);
  for (const active of input.waves) {
    const remaining = active.wave.machines
      .map((id) => input.machines.get(id))
      .filter((machine): machine is Machine =>
        machine?.state === "up" && !active.startedMachines.has(machine.id) &&
        !input.ordered.has(machine.id) && !plan.has(machine.id)
      );
    const downCount = active.wave.machines.filter((id) =>
      input.down.has(id)
    ).length;
    let slots = active.wave.maxDown - downCount;
    let needed = neededConcurrency(remaining.length, active, input.nowMs) -
      downCount;
    remaining.sort((a, b) =>
      rankOf(a, input) - rankOf(b, input) ||
      input.loadOf(a.pool) - input.loadOf(b.pool)
    );
    for (const machine of remaining) {
      if (slots <= 0) break;
      const isSpare = isIdle(machine, input) && !input.isPoolShort;
      if (!isSpare && needed <= 0) break;
      if (!isWithinPoolLimit(machine, { input, unavailableByPool })) continue;
      plan.set(machine.id, active.wave.wave);
      countMachine(unavailableByPool, machine.pool);
      slots--;
      needed--;
    }
  }
  return plan;
}

/** Returns how many machines have to be down at a time to end in time. */
function neededConcurrency(
  remaining: number,
  active: ActiveWave,
  nowMs: number,
): number {
  const leftMs = Math.max(active.dueAtMs - DEADLINE_MARGIN_MS - nowMs, 1);
  return Math.max(1, Math.ceil(remaining * MACHINE_UPKEEP_MS / leftMs));
}

/** Returns whether a machine runs nothing; standby machines are off. */
function isIdle(machine: Machine, input: UpkeepPlanInput): boolean {
  if (input.standbyPools.has(machine.pool)) return true;
  return machine.executor !== undefined && input.idle.has(machine.executor);
}

const STANDBY_RANK = 0;
const IDLE_RANK = 1;
const DRAINING_RANK = 2;
const STANDBY_RANK_IF_SHORT = 3;
const BUSY_RANK = 4;

/** Returns the order of selection; a machine with a lower value comes first. */
function rankOf(machine: Machine, input: UpkeepPlanInput): number {
  if (input.standbyPools.has(machine.pool)) {
    return input.isPoolShort ? STANDBY_RANK_IF_SHORT : STANDBY_RANK;
  }
  if (isIdle(machine, input)) return IDLE_RANK;
  return input.draining.has(machine.id) ? DRAINING_RANK : BUSY_RANK;
}

/** Largest share of a pool that upkeep may make unavailable. */
const MAX_UNAVAILABLE_SHARE = 1 / 3;

function isWithinPoolLimit(
  machine: Machine,
  { input, unavailableByPool }: {
    input: UpkeepPlanInput;
    unavailableByPool: ReadonlyMap<string, number>;
  },
): boolean {
  if (input.standbyPools.has(machine.pool)) return true;
  let size = 0;
  for (const { pool } of input.machines.values()) {
    if (pool === machine.pool) size++;
  }
  const allowed = Math.max(1, Math.floor(size * MAX_UNAVAILABLE_SHARE));
  return (unavailableByPool.get(machine.pool) ?? 0) < allowed;
}

function countUnavailable(input: UpkeepPlanInput): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { id, pool, state } of input.machines.values()) {
    if (state !== "up" || input.ordered.has(id)) countMachine(counts, pool);
  }
  return counts;
}

function countMachine(counts: Map<string, number>, pool: string): void {
  counts.set(pool, (counts.get(pool) ?? 0) + 1);
}
