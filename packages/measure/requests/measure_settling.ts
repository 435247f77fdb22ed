import type { MeasureRow } from "../measure_row.ts";
import { createFloodDemand, drawArrivals, PEAK_LOAD } from "./demand.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  type Desk,
  SLOTS_PER_EXECUTOR,
} from "./deployment.ts";
import { CHOSEN, FIXED_SHARES, type Policy } from "./policy.ts";
import { simulateRequests, type SlotUse } from "./simulate_requests.ts";

/** Times at which the demand rises to its peak and falls back. */
const RISE_MS = 10_000;
const FALL_MS = 16_000;

/** End of the run. */
const END_MS = 22_000;

/** Interval and averaging window of the samples of slots in use. */
const SAMPLE_INTERVAL_MS = 50;
const AVERAGING_WINDOW_MS = 300;

/** Largest tolerated deviation from the ideal use, as a share of the peak. */
const TOLERANCE = 0.1;

/**
 * Slots that a desk uses at each sample, and those that it would use if each
 * request started on arrival.
 */
type SlotSamples = { used: number[]; ideal: number[] };

/**
 * Measures how fast the number of slots that a desk uses follows a change of
 * its demand, from a twentieth of the mean to five times the mean and back,
 * during an urgent flood of another desk. Ideally, each request of the desk
 * starts on arrival. `limit-settle` is the time after the change until the use,
 * averaged over 300 ms, stays within 10% of the peak from the ideal use, for
 * the worst desk and direction. `limit-reversals` counts how often the
 * difference changes from more than 10% in one direction to more than 10% in
 * the other, summed over the desks. The bound is 0 for both. Once settled, the
 * use of some tens of slots varies by up to 9%, since a wait of a few
 * milliseconds moves use from one sample to the next; a single deviation beyond
 * 10% appears as a settling time of seconds.
 *
 * @example
 * ```ts
 * const rows = measureSettling();
 * ```
 */
export function measureSettling(): MeasureRow[] {
  return DEPLOYMENTS.flatMap((deployment) =>
    [CHOSEN, FIXED_SHARES].flatMap((policy) =>
      measurePolicy(deployment, policy)
    )
  );
}

function measurePolicy(deployment: Deployment, policy: Policy): MeasureRow[] {
  let settleMs = 0;
  let reversals = 0;
  for (const desk of deployment.desks) {
    if (desk.name === deployment.floodingDesk) continue;
    const { used, ideal } = simulateDemandStep(deployment, { policy, desk });
    const peak = Math.max(...ideal);
    const errors = used.map((value, index) => (value - ideal[index]!) / peak);
    const fallIndex = (FALL_MS - RISE_MS) / SAMPLE_INTERVAL_MS;
    for (
      const phaseErrors of [errors.slice(0, fallIndex), errors.slice(fallIndex)]
    ) {
      settleMs = Math.max(settleMs, findSettlingTimeMs(phaseErrors));
      reversals += countReversals(phaseErrors);
    }
  }
  const row = { deployment: deployment.name, policy: policy.name };
  return [
    { measure: "limit-settle", ...row, value: settleMs, unit: "ms" },
    { measure: "limit-reversals", ...row, value: reversals, unit: "count" },
  ];
}

function simulateDemandStep(
  deployment: Deployment,
  options: { policy: Policy; desk: Desk },
): SlotSamples {
  const { policy, desk } = options;
  const capacityPerMs = desk.executors * SLOTS_PER_EXECUTOR / desk.runTimeMs;
  const lowRatePerMs = capacityPerMs * PEAK_LOAD / 100;
  const peakRatePerMs = capacityPerMs * PEAK_LOAD;
  const queue = { desk, urgency: "normal" as const };
  const periods = [
    { ...queue, fromMs: 0, toMs: RISE_MS, ratePerMs: lowRatePerMs },
    { ...queue, fromMs: RISE_MS, toMs: FALL_MS, ratePerMs: peakRatePerMs },
    { ...queue, fromMs: FALL_MS, toMs: END_MS, ratePerMs: lowRatePerMs },
    ...createFloodDemand(deployment, "urgent")
      .map((flood) => ({ ...flood, fromMs: 0, toMs: END_MS })),
  ];
  const members = deployment.entryHosts;
  const arrivals = drawArrivals(periods, { seed: 3, members });
  const { uses } = simulateRequests({ deployment, policy, arrivals });
  const own = uses.filter((use) => use.service === desk.name);
  const ideal = arrivals.filter(({ service }) => service === desk.name)
    .map(({ atMs, runMs }) => ({ fromMs: atMs, toMs: atMs + runMs }));
  return { used: sampleUse(own), ideal: sampleUse(ideal) };
}

/** Returns the slots in use, averaged over the window before each sample. */
function sampleUse(
  uses: readonly Pick<SlotUse, "fromMs" | "toMs">[],
): number[] {
  const samples: number[] = [];
  for (
    let atMs = RISE_MS + SAMPLE_INTERVAL_MS;
    atMs <= END_MS;
    atMs += SAMPLE_INTERVAL_MS
  ) {
    const startMs = atMs - AVERAGING_WINDOW_MS;
    let sum = 0;
    for (const use of uses) {
      const usedMs = Math.min(atMs, use.toMs) - Math.max(startMs, use.fromMs);
      if (usedMs > 0) sum += usedMs;
    }
    samples.push(sum / AVERAGING_WINDOW_MS);
  }
  return samples;
}

/** Returns the time in milliseconds after which errors stay tolerable. */
function findSettlingTimeMs(errors: readonly number[]): number {
  const last = errors.findLastIndex((error) => Math.abs(error) > TOLERANCE);
  return (last + 1) * SAMPLE_INTERVAL_MS;
}

function countReversals(errors: readonly number[]): number {
  let count = 0;
  let direction = 0;
  for (const error of errors) {
    if (Math.abs(error) <= TOLERANCE) continue;
    if (direction * error < 0) count++;
    direction = Math.sign(error);
  }
  return count;
}
