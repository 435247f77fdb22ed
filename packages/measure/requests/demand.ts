import type { Urgency } from "@lagoonloom/decisions";
import { createRandom, drawGap, drawLogNormal } from "../random.ts";
import {
  countSlots,
  type Deployment,
  type Desk,
  RUN_TIME_SIGMA,
  SLOTS_PER_EXECUTOR,
} from "./deployment.ts";

/** Request of a trace. */
export type Arrival = {
  id: string;
  atMs: number;
  service: string;
  urgency: Urgency;
  runMs: number;
  deadlineAtMs: number;
  /** Index of the entry host that the load balancer chose. */
  member: number;
};

/** Stretch of constant demand of one queue. */
export type Demand = {
  desk: Desk;
  urgency: Urgency;
  fromMs: number;
  toMs: number;
  ratePerMs: number;
};

/** Case of a flood; `none` is the run for comparison. */
export type FloodCase = "none" | "deferrable" | "urgent" | "both";

/**
 * Peak of a queue relative to what its home pool serves. The mean is a fifth of
 * it, 0.4 of the pool. With one of 15 queues at its peak, the whole load is
 * about 45% of all slots.
 */
export const PEAK_LOAD = 2;

/** Demand between peaks relative to the peak: a twentieth of the mean. */
const QUIET_LOAD = PEAK_LOAD / 5 / 20;

/** Time for which a queue is at its peak in milliseconds. */
export const PEAK_MS = 3_000;

/** Start of a flood in milliseconds. */
export const FLOOD_FROM_MS = 4_000;

/** Demand of a flood relative to all slots of the deployment. */
const FLOOD_LOAD = 1.5;

const CLASSES: readonly Urgency[] = ["urgent", "normal", "deferrable"];

/**
 * Returns the length in milliseconds of a run in which each queue peaks once.
 *
 * @example
 * ```ts
 * computeRunLength(LAKESHORE); // 45_000
 * ```
 */
export function computeRunLength(deployment: Deployment): number {
  return deployment.desks.length * CLASSES.length * PEAK_MS;
}

/**
 * Returns the demand in which each queue in turn is at its peak.
 *
 * @example
 * ```ts
 * const demands = rotateDemand(LAKESHORE);
 * ```
 */
export function rotateDemand(deployment: Deployment): Demand[] {
  const length = computeRunLength(deployment);
  const demands: Demand[] = [];
  CLASSES.forEach((urgency, row) => {
    deployment.desks.forEach((desk, column) => {
      const slots = desk.executors * SLOTS_PER_EXECUTOR;
      const full = slots / desk.runTimeMs;
      const peakFrom = (row * deployment.desks.length + column) * PEAK_MS;
      const peakTo = peakFrom + PEAK_MS;
      const add = (fromMs: number, toMs: number, load: number) => {
        if (toMs <= fromMs) return;
        demands.push({ desk, urgency, fromMs, toMs, ratePerMs: load * full });
      };
      add(0, peakFrom, QUIET_LOAD);
      add(peakFrom, peakTo, PEAK_LOAD);
      add(peakTo, length, QUIET_LOAD);
    });
  });
  return demands;
}

/**
 * Returns the demand that a flood adds.
 *
 * @example
 * ```ts
 * const demands = addFlood(LAKESHORE, "urgent");
 * ```
 */
export function addFlood(deployment: Deployment, flood: FloodCase): Demand[] {
  if (flood === "none") return [];
  const desk = findDesk(deployment, deployment.flooding);
  const ratePerMs = FLOOD_LOAD * countSlots(deployment) / desk.runTimeMs;
  const fromMs = FLOOD_FROM_MS;
  const toMs = computeRunLength(deployment);
  if (flood !== "both") {
    return [{ desk, urgency: flood, fromMs, toMs, ratePerMs }];
  }
  const middle = (fromMs + toMs) / 2;
  return [
    { desk, urgency: "deferrable", fromMs, toMs: middle, ratePerMs },
    { desk, urgency: "urgent", fromMs: middle, toMs, ratePerMs },
  ];
}

/**
 * Returns the desk of a name.
 *
 * @example
 * ```ts
 * const desk = findDesk(LAKESHORE, "orders");
 * ```
 */
export function findDesk(deployment: Deployment, name: string): Desk {
  const desk = deployment.desks.find((desk) => desk.name === name);
  if (desk === undefined) throw new Error(`There is no desk "${name}".`);
  return desk;
}

/**
 * Draws the requests of some demand in order of time. Each stretch has its own
 * seed, so that a flood leaves the other requests as they are.
 *
 * @example
 * ```ts
 * const arrivals = drawArrivals(demands, { seed: 1, members: 9 });
 * ```
 */
export function drawArrivals(
  demands: readonly Demand[],
  options: { seed: number; members: number },
): Arrival[] {
  const arrivals: Arrival[] = [];
  demands.forEach((demand, index) => {
    const seed = options.seed * 1_000 + index;
    const random = createRandom(seed);
    const { desk, urgency } = demand;
    let atMs = demand.fromMs + drawGap(random, demand.ratePerMs);
    for (let count = 0; atMs < demand.toMs; count++) {
      arrivals.push({
        id: `${seed}-${count}`,
        atMs,
        service: desk.name,
        urgency,
        runMs: drawLogNormal(random, {
          mean: desk.runTimeMs,
          sigma: RUN_TIME_SIGMA,
        }),
        deadlineAtMs: atMs + desk.deadlineMs,
        member: Math.floor(random() * options.members),
      });
      atMs += drawGap(random, demand.ratePerMs);
    }
  });
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
