/**
 * Cheapest number of hosts of a pool over time, as a lower bound for policies.
 *
 * @module
 */

import { DEFAULT_MOVE_COST_S } from "@lagoonloom/decisions";

/** Need of a pool over time, and the number of hosts that it has at first. */
export type PoolNeed = {
  /** Number of hosts needed in each step, including the failed ones. */
  needed: number[];
  /** Number of failed hosts in each step. */
  failed: number[];
  /** Need in each step before rounding up; hosts beyond it are idle. */
  fractionalNeed: number[];
  /** Number of hosts before the first step. */
  hosts: number;
  /** Length of a step in seconds. */
  stepS: number;
};

/** Idle time and moves of the cheapest number of hosts over time. */
export type PoolBound = {
  /** Idle host seconds. */
  idleHostS: number;
  /** Number of hosts that join the pool in each step. */
  joining: number[];
  /** Number of hosts that leave the pool in each step. */
  leaving: number[];
};

/**
 * Computes the cheapest number of hosts of a pool over time if its need is
 * known in advance, by dynamic programming over steps and numbers of hosts. A
 * step never has fewer hosts than needed. The cost is the idle time plus half
 * the cost of a move for each host that joins or leaves, since a move between
 * two pools is counted in both.
 *
 * @example
 * ```ts
 * const { idleHostS } = computePoolBound(need);
 * ```
 */
export function computePoolBound(need: PoolNeed): PoolBound {
  const maxHosts = Math.max(need.hosts, ...need.needed) + 1;
  const halfMoveCostS = DEFAULT_MOVE_COST_S / 2;
  let cost = Array.from(
    { length: maxHosts + 1 },
    (_, hosts) => hosts === need.hosts ? 0 : Infinity,
  );
  const predecessorsByStep: Int16Array[] = [];
  for (const [step, needed] of need.needed.entries()) {
    const { costs, predecessors } = relaxMoves(cost, halfMoveCostS);
    predecessorsByStep.push(predecessors);
    cost = costs.map((value, hosts) =>
      hosts < needed ? Infinity : value + computeIdleHostS(need, step, hosts)
    );
  }
  return backtrack(need, {
    predecessorsByStep,
    last: cost.indexOf(Math.min(...cost)),
  });
}

function computeIdleHostS(need: PoolNeed, step: number, hosts: number): number {
  const inService = hosts - need.failed[step]!;
  return Math.max(0, inService - need.fractionalNeed[step]!) * need.stepS;
}

/**
 * Returns the lowest cost of each number of hosts after moves, and the number
 * of hosts before them. Each host that joins or leaves costs `halfMoveCostS`.
 */
function relaxMoves(cost: readonly number[], halfMoveCostS: number) {
  const costs = [...cost];
  const predecessors = Int16Array.from(cost, (_, hosts) => hosts);
  for (let hosts = 1; hosts < costs.length; hosts++) {
    if (costs[hosts - 1]! + halfMoveCostS >= costs[hosts]!) continue;
    costs[hosts] = costs[hosts - 1]! + halfMoveCostS;
    predecessors[hosts] = predecessors[hosts - 1]!;
  }
  for (let hosts = costs.length - 2; hosts >= 0; hosts--) {
    if (costs[hosts + 1]! + halfMoveCostS >= costs[hosts]!) continue;
    costs[hosts] = costs[hosts + 1]! + halfMoveCostS;
    predecessors[hosts] = predecessors[hosts + 1]!;
  }
  return { costs, predecessors };
}

/** Follows the cheapest path back from the last step. */
function backtrack(
  need: PoolNeed,
  path: { predecessorsByStep: Int16Array[]; last: number },
): PoolBound {
  const steps = path.predecessorsByStep.length;
  const bound: PoolBound = {
    idleHostS: 0,
    joining: new Array<number>(steps).fill(0),
    leaving: new Array<number>(steps).fill(0),
  };
  let hosts = path.last;
  for (let step = path.predecessorsByStep.length - 1; step >= 0; step--) {
    bound.idleHostS += computeIdleHostS(need, step, hosts);
    const hostsBefore = path.predecessorsByStep[step]![hosts]!;
    bound.joining[step] = Math.max(0, hosts - hostsBefore);
    bound.leaving[step] = Math.max(0, hostsBefore - hosts);
    hosts = hostsBefore;
  }
  return bound;
}
