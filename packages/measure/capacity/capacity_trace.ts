import { createRandom, drawGap, type Random } from "../random.ts";
import {
  type CapacityDeployment,
  FAILURES_PER_HOST_DAY,
} from "./deployments.ts";

/** Failure of one host of a pool. */
export type TraceFailure = { pool: string; atS: number; untilS: number };

/** Demand and failures of a deployment. */
export type CapacityTrace = {
  seconds: number;
  failures: TraceFailure[];
  /** Long-term demand in busy hosts by pool, as steps in the order of time. */
  means: Map<string, { atS: number; hosts: number }[]>;
  /** Floods by pool. */
  floods: Map<string, { atS: number; untilS: number }[]>;
  pools: string[];
};

/** Time until a failed host is back or replaced, in seconds. */
const MIN_REPAIR_S = 3_600;
const MAX_REPAIR_S = 4 * 3_600;

/** Mean repair time in hours, for the buffer. */
export const MEAN_REPAIR_H = (MIN_REPAIR_S + MAX_REPAIR_S) / 2 / 3_600;

/** Mean time between two changes of a pool's long-term demand in seconds. */
const SHIFT_GAP_S = 12 * 3_600;

/** Mean time between two floods of a pool, and their length, in seconds. */
const FLOOD_GAP_S = 6 * 3_600;
const FLOOD_S = 120;

/** Time for which the rotating demand stays with one queue, in seconds. */
const TURN_S = 20;

/** Demand in its turn and in between, in multiples of the mean. */
const IN_TURN = 5;
const BETWEEN = 0.05;

/**
 * Creates the demand and the failures of a deployment with a fixed seed: the
 * design page's rotation and failure rate, floods of two minutes, and a change
 * of each pool's mean about every 12 hours. The page names no long-term change;
 * without one, no move would ever be needed.
 *
 * @example
 * ```ts
 * const trace = createTrace(deployment, 7);
 * ```
 */
export function createTrace(
  { shape, hours }: CapacityDeployment,
  seed: number,
): CapacityTrace {
  const random = createRandom(seed);
  const seconds = hours * 3_600;
  const pools = Object.keys(shape.pools)
    .filter((name) => name !== shape.sparePool);
  const trace: CapacityTrace = {
    seconds,
    failures: [],
    means: new Map(),
    floods: new Map(),
    pools,
  };
  for (const pool of pools) {
    const hosts = shape.pools[pool]!;
    const level = () => hosts * (0.55 + 0.3 * random());
    trace.means.set(
      pool,
      [0, ...drawTimes(random, { gapS: SHIFT_GAP_S, seconds })]
        .map((atS) => ({ atS, hosts: level() })),
    );
    trace.floods.set(
      pool,
      drawTimes(random, { gapS: FLOOD_GAP_S, seconds })
        .map((atS) => ({ atS, untilS: atS + FLOOD_S })),
    );
    const gapS = 86_400 / (FAILURES_PER_HOST_DAY * hosts);
    for (const atS of drawTimes(random, { gapS, seconds })) {
      const repairS = MIN_REPAIR_S + random() * (MAX_REPAIR_S - MIN_REPAIR_S);
      trace.failures.push({ pool, atS, untilS: atS + repairS });
    }
  }
  trace.failures.sort((left, right) => left.atS - right.atS);
  return trace;
}

function drawTimes(
  random: Random,
  options: { gapS: number; seconds: number },
): number[] {
  const times: number[] = [];
  let atS = 0;
  for (;;) {
    atS += drawGap(random, 1 / options.gapS);
    if (atS >= options.seconds) return times;
    times.push(atS);
  }
}

/**
 * Returns the long-term demand of a pool in busy hosts.
 *
 * @example
 * ```ts
 * const busy = meanAt(trace, "orders", 3_600);
 * ```
 */
export function meanAt(
  trace: CapacityTrace,
  pool: string,
  atS: number,
): number {
  const steps = trace.means.get(pool) ?? [];
  return steps.findLast((step) => step.atS <= atS)?.hosts ?? 0;
}

/**
 * Returns the load of a pool averaged over one step: the rotating demand, with
 * one turn per pool in a group of five, and floods.
 *
 * @example
 * ```ts
 * const load = loadOver(trace, "orders", { fromS: 0, toS: 10 });
 * ```
 */
export function loadOver(
  trace: CapacityTrace,
  pool: string,
  { fromS, toS }: { fromS: number; toS: number },
): number {
  const group = Math.min(IN_TURN, trace.pools.length);
  const turn = trace.pools.indexOf(pool) % group;
  const mean = meanAt(trace, pool, fromS);
  const isFlooded = trace.floods.get(pool)
    ?.some((flood) => flood.atS <= fromS && fromS < flood.untilS) === true;
  if (isFlooded) return IN_TURN * mean;
  let load = 0;
  let samples = 0;
  for (let atS = fromS; atS < toS; atS += TURN_S / 2) {
    const isInTurn = Math.floor(atS / TURN_S) % group === turn;
    load += isInTurn ? IN_TURN : BETWEEN;
    samples++;
  }
  // Scaled so that the average over a round of turns is the mean.
  const average = (IN_TURN + BETWEEN * (group - 1)) / group;
  return mean * load / samples / average;
}
