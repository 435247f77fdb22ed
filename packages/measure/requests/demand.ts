/**
 * Demand of the simulated deployments, and the requests drawn from it.
 *
 * @module
 */

import type { Urgency } from "@lagoonloom/decisions";
import {
  createRandom,
  drawInterarrivalTime,
  drawLogNormal,
} from "../random.ts";
import {
  countSlots,
  type Deployment,
  type Desk,
  RUN_TIME_SIGMA,
  SLOTS_PER_EXECUTOR,
} from "./deployment.ts";

/** Request of a simulated run, as its caller sends it. */
export type Arrival = {
  id: string;
  atMs: number;
  service: string;
  urgency: Urgency;
  /** Time that the request runs on an executor in milliseconds. */
  runMs: number;
  deadlineAtMs: number;
  /** Index of the entry host to which the load balancer sends the request. */
  member: number;
};

/** Period of constant demand in one queue; each desk has one per urgency. */
export type DemandPeriod = {
  desk: Desk;
  urgency: Urgency;
  fromMs: number;
  toMs: number;
  /** Requests per millisecond. */
  ratePerMs: number;
};

/** Urgency of a flood's requests; `none` is the run without a flood. */
export type FloodCase = "none" | "deferrable" | "urgent" | "both";

/**
 * Peak demand of a queue relative to the capacity of its home pool. The mean is
 * a fifth of it, 0.4 of the pool. With one of 15 queues at its peak, the total
 * load is about 45% of all slots.
 */
export const PEAK_LOAD = 2;

/**
 * Demand between peaks relative to the capacity of the home pool: a twentieth
 * of the mean.
 */
const OFF_PEAK_LOAD = PEAK_LOAD / 5 / 20;

/** Length of a queue's peak in milliseconds. */
export const PEAK_MS = 3_000;

/** Start of a flood in milliseconds. */
export const FLOOD_START_MS = 4_000;

/** Demand of a flood relative to all slots of the deployment. */
const FLOOD_LOAD = 1.5;

const URGENCIES: readonly Urgency[] = ["urgent", "normal", "deferrable"];

/**
 * Returns the length in milliseconds of a run in which each queue peaks once.
 *
 * @example
 * ```ts
 * computeRunLengthMs(LAKESHORE); // 45_000
 * ```
 */
export function computeRunLengthMs(deployment: Deployment): number {
  return deployment.desks.length * URGENCIES.length * PEAK_MS;
}

/**
 * Returns demand that rotates: each queue in turn is at its peak once.
 *
 * @example
 * ```ts
 * const periods = createRotatingDemand(LAKESHORE);
 * ```
 */
export function createRotatingDemand(deployment: Deployment): DemandPeriod[] {
  const lengthMs = computeRunLengthMs(deployment);
  const periods: DemandPeriod[] = [];
  URGENCIES.forEach((urgency, urgencyIndex) => {
    deployment.desks.forEach((desk, deskIndex) => {
      const slots = desk.executors * SLOTS_PER_EXECUTOR;
      const capacityPerMs = slots / desk.runTimeMs;
      const peakFromMs = (urgencyIndex * deployment.desks.length + deskIndex) *
        PEAK_MS;
      const peakToMs = peakFromMs + PEAK_MS;
      const add = (fromMs: number, toMs: number, load: number) => {
        if (toMs <= fromMs) return;
        periods.push({
          desk,
          urgency,
          fromMs,
          toMs,
          ratePerMs: load * capacityPerMs,
        });
      };
      add(0, peakFromMs, OFF_PEAK_LOAD);
      add(peakFromMs, peakToMs, PEAK_LOAD);
      add(peakToMs, lengthMs, OFF_PEAK_LOAD);
    });
  });
  return periods;
}

/**
 * Returns the demand that a flood adds. In the case `both`, it is deferrable in
 * the first half of its time and urgent in the second.
 *
 * @example
 * ```ts
 * const periods = createFloodDemand(LAKESHORE, "urgent");
 * ```
 */
export function createFloodDemand(
  deployment: Deployment,
  flood: FloodCase,
): DemandPeriod[] {
  if (flood === "none") return [];
  const desk = findDesk(deployment, deployment.floodingDesk);
  const ratePerMs = FLOOD_LOAD * countSlots(deployment) / desk.runTimeMs;
  const fromMs = FLOOD_START_MS;
  const toMs = computeRunLengthMs(deployment);
  if (flood !== "both") {
    return [{ desk, urgency: flood, fromMs, toMs, ratePerMs }];
  }
  const middleMs = (fromMs + toMs) / 2;
  return [
    { desk, urgency: "deferrable", fromMs, toMs: middleMs, ratePerMs },
    { desk, urgency: "urgent", fromMs: middleMs, toMs, ratePerMs },
  ];
}

/**
 * Returns the desk with a name.
 *
 * @throws {Error} If the deployment has no such desk.
 *
 * @example
 * ```ts
 * const desk = findDesk(LAKESHORE, "orders");
 * ```
 */
export function findDesk(deployment: Deployment, name: string): Desk {
  const desk = deployment.desks.find((desk) => desk.name === name);
  if (desk === undefined) {
    throw new Error(`The deployment has no desk "${name}".`);
  }
  return desk;
}

/**
 * Draws the requests of periods of demand, in order of time. Each period has
 * its own seed, so that adding a flood does not change the other requests.
 *
 * @example
 * ```ts
 * const arrivals = drawArrivals(periods, { seed: 1, members: 9 });
 * ```
 */
export function drawArrivals(
  periods: readonly DemandPeriod[],
  options: { seed: number; members: number },
): Arrival[] {
  const arrivals: Arrival[] = [];
  periods.forEach((period, index) => {
    const seed = options.seed * 1_000 + index;
    const random = createRandom(seed);
    const { desk, urgency } = period;
    let atMs = period.fromMs + drawInterarrivalTime(random, period.ratePerMs);
    for (let count = 0; atMs < period.toMs; count++) {
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
      atMs += drawInterarrivalTime(random, period.ratePerMs);
    }
  });
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
