import { DEFAULT_MOVE_COST_S } from "@lagoonloom/decisions";

/** Need of a pool over time and its first number of hosts. */
export type PoolNeed = {
  /** Hosts needed in each step, failed ones included. */
  needed: number[];
  /** Hosts failed in each step. */
  failed: number[];
  /** Fractional need in each step, from which idle time is counted. */
  exact: number[];
  hosts: number;
  stepS: number;
};

/** Hosts over time that cost least with full knowledge. */
export type PoolBound = {
  idleS: number;
  /** Hosts that join in each step, and hosts that leave. */
  in: number[];
  out: number[];
};

/**
 * Computes the cheapest number of hosts of a pool over time with full knowledge
 * of its need, by dynamic programming over steps and numbers of hosts. A step
 * never has fewer hosts than needed. The cost is the idle time plus half the
 * cost of a move for each host that joins or leaves, since a move between two
 * pools is counted in both.
 *
 * @example
 * ```ts
 * const { idleS } = boundPool(need);
 * ```
 */
export function boundPool(need: PoolNeed): PoolBound {
  const most = Math.max(need.hosts, ...need.needed) + 1;
  const half = DEFAULT_MOVE_COST_S / 2;
  let cost = Array.from(
    { length: most + 1 },
    (_, hosts) => hosts === need.hosts ? 0 : Infinity,
  );
  const choices: Int16Array[] = [];
  for (const [step, needed] of need.needed.entries()) {
    const { reached, from } = relax(cost, half);
    choices.push(from);
    cost = reached.map((value, hosts) =>
      hosts < needed ? Infinity : value + idleOf(need, step, hosts)
    );
  }
  return trace(need, { choices, last: cost.indexOf(Math.min(...cost)) });
}

function idleOf(need: PoolNeed, step: number, hosts: number): number {
  const inService = hosts - need.failed[step]!;
  return Math.max(0, inService - need.exact[step]!) * need.stepS;
}

/** Cheapest way to each number of hosts when a change of one costs `half`. */
function relax(cost: readonly number[], half: number) {
  const reached = [...cost];
  const from = Int16Array.from(cost, (_, hosts) => hosts);
  for (let hosts = 1; hosts < reached.length; hosts++) {
    if (reached[hosts - 1]! + half >= reached[hosts]!) continue;
    reached[hosts] = reached[hosts - 1]! + half;
    from[hosts] = from[hosts - 1]!;
  }
  for (let hosts = reached.length - 2; hosts >= 0; hosts--) {
    if (reached[hosts + 1]! + half >= reached[hosts]!) continue;
    reached[hosts] = reached[hosts + 1]! + half;
    from[hosts] = from[hosts + 1]!;
  }
  return { reached, from };
}

function trace(
  need: PoolNeed,
  path: { choices: Int16Array[]; last: number },
): PoolBound {
  const steps = path.choices.length;
  const bound: PoolBound = {
    idleS: 0,
    in: new Array<number>(steps).fill(0),
    out: new Array<number>(steps).fill(0),
  };
  let hosts = path.last;
  for (let step = path.choices.length - 1; step >= 0; step--) {
    bound.idleS += idleOf(need, step, hosts);
    const before = path.choices[step]![hosts]!;
    bound.in[step] = Math.max(0, hosts - before);
    bound.out[step] = Math.max(0, before - hosts);
    hosts = before;
  }
  return bound;
}
