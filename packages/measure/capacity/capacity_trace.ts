/**
 * Simulated demand and host failures of a deployment.
 *
 * @module
 */

import { createRandom, drawInterarrivalTime, type Random } from "../random.ts";
import {
  type CapacityDeployment,
  FAILURES_PER_HOST_DAY,
} from "./deployments.ts";

/** Failure of any one host of a pool, from its start until the host is back. */
export type HostFailure = { pool: string; atS: number; untilS: number };

/** Demand and failures of a deployment over time. */
export type CapacityTrace = {
  /** Length in seconds. */
  seconds: number;
  /** Failures in order of their start. */
  failures: HostFailure[];
  /**
   * Long-term mean demand by pool: the number of busy hosts from each time on,
   * in order of time.
   */
  meanDemand: Map<string, { atS: number; hosts: number }[]>;
  /** Floods by pool. */
  floods: Map<string, { atS: number; untilS: number }[]>;
  pools: string[];
};

/** Bounds of the time until a failed host is back or replaced, in seconds. */
const MIN_REPAIR_S = 3_600;
const MAX_REPAIR_S = 4 * 3_600;

/** Mean time in hours until a failed host is back or replaced. */
export const MEAN_REPAIR_H = (MIN_REPAIR_S + MAX_REPAIR_S) / 2 / 3_600;

/** Mean time between two changes of a pool's long-term demand, in seconds. */
const DEMAND_CHANGE_GAP_S = 12 * 3_600;

/** Mean time between two floods of a pool, in seconds. */
const FLOOD_GAP_S = 6 * 3_600;

/** Length of a flood in seconds. */
const FLOOD_S = 120;

/** Length of a pool's peak in the rotating demand, in seconds. */
const PEAK_S = 20;

/** Demand of a pool at its peak or in a flood, as a multiple of its mean. */
const PEAK_FACTOR = 5;

/** Demand of a pool between its peaks, as a multiple of its mean. */
const OFF_PEAK_FACTOR = 0.05;

/**
 * Creates the demand and the failures of a deployment from a seed. Rotation and
 * failure rate are those of docs/design.md; floods last two minutes, and the
 * mean demand of each pool changes about every 12 hours. The page states no
 * long-term changes, but without them no host would ever have to move.
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
    meanDemand: new Map(),
    floods: new Map(),
    pools,
  };
  for (const pool of pools) {
    const hosts = shape.pools[pool]!;
    const drawMean = () => hosts * (0.55 + 0.3 * random());
    trace.meanDemand.set(
      pool,
      [0, ...drawEventTimes(random, { gapS: DEMAND_CHANGE_GAP_S, seconds })]
        .map((atS) => ({ atS, hosts: drawMean() })),
    );
    trace.floods.set(
      pool,
      drawEventTimes(random, { gapS: FLOOD_GAP_S, seconds })
        .map((atS) => ({ atS, untilS: atS + FLOOD_S })),
    );
    const gapS = 86_400 / (FAILURES_PER_HOST_DAY * hosts);
    for (const atS of drawEventTimes(random, { gapS, seconds })) {
      const repairS = MIN_REPAIR_S + random() * (MAX_REPAIR_S - MIN_REPAIR_S);
      trace.failures.push({ pool, atS, untilS: atS + repairS });
    }
  }
  trace.failures.sort((left, right) => left.atS - right.atS);
  return trace;
}

function drawEventTimes(
  random: Random,
  options: { gapS: number; seconds: number },
): number[] {
  const times: number[] = [];
  let atS = 0;
  for (;;) {
    atS += drawInterarrivalTime(random, 1 / options.gapS);
    if (atS >= options.seconds) return times;
    times.push(atS);
  }
}

/**
 * Returns the long-term mean demand of a pool, as a number of busy hosts.
 *
 * @example
 * ```ts
 * const hosts = getMeanDemand(trace, "orders", 3_600);
 * ```
 */
export function getMeanDemand(
  trace: CapacityTrace,
  pool: string,
  atS: number,
): number {
  const steps = trace.meanDemand.get(pool) ?? [];
  return steps.findLast((step) => step.atS <= atS)?.hosts ?? 0;
}

/**
 * Returns the load of a pool, averaged over a period, as a number of busy
 * hosts. Pools peak in turn within groups of five, and a flood replaces this
 * rotation.
 *
 * @example
 * ```ts
 * const load = computeAverageLoad(trace, "orders", { fromS: 0, toS: 10 });
 * ```
 */
export function computeAverageLoad(
  trace: CapacityTrace,
  pool: string,
  { fromS, toS }: { fromS: number; toS: number },
): number {
  const groupSize = Math.min(PEAK_FACTOR, trace.pools.length);
  const turn = trace.pools.indexOf(pool) % groupSize;
  const mean = getMeanDemand(trace, pool, fromS);
  const isFlooded = trace.floods.get(pool)
    ?.some((flood) => flood.atS <= fromS && fromS < flood.untilS) === true;
  if (isFlooded) return PEAK_FACTOR * mean;
  let load = 0;
  let samples = 0;
  for (let atS = fromS; atS < toS; atS += PEAK_S / 2) {
    const isAtPeak = Math.floor(atS / PEAK_S) % groupSize === turn;
    load += isAtPeak ? PEAK_FACTOR : OFF_PEAK_FACTOR;
    samples++;
  }
  // Scales the load so that its average over one rotation is the mean.
  const average = (PEAK_FACTOR + OFF_PEAK_FACTOR * (groupSize - 1)) / groupSize;
  return mean * load / samples / average;
}
