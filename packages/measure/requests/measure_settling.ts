import type { MeasureRow } from "../measure_row.ts";
import { addFlood, drawArrivals, PEAK_LOAD } from "./demand.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  type Desk,
  SLOTS_PER_EXECUTOR,
} from "./deployment.ts";
import { CHOSEN, FIXED_SHARES, type Policy } from "./policy.ts";
import { simulateRequests, type SlotUse } from "./simulate_requests.ts";

/** Demand is low before, at its peak between, and low after these times. */
const UP_MS = 10_000;
const DOWN_MS = 16_000;
const END_MS = 22_000;

/** Interval and averaging window of the samples of slots in use. */
const SAMPLE_MS = 50;
const WINDOW_MS = 300;

/** Part of the peak by which the use may differ when it has settled. */
const TOLERANCE = 0.1;

/** Slots in use of a desk in fact and with full knowledge, by sample. */
type Samples = { used: number[]; ideal: number[] };

/**
 * Measures how the slots that a desk uses follow a change of its demand, from a
 * twentieth of the mean to five times the mean and back, during an urgent flood
 * of another desk. With full knowledge, each request of the desk starts when it
 * arrives. `limit-settle` is the time after the change until the use, averaged
 * over 300 ms, stays within 10% of the peak of that (worst desk and direction);
 * `limit-reversals` counts how often the difference changes from more than 10%
 * in one direction to more than 10% in the other (sum over the desks). The
 * bound is 0 for both. The use of some tens of slots swings by up to 9% when it
 * has settled, since a wait of some ms moves use from one sample to the next; a
 * single swing beyond 10% shows as a settling time of seconds.
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
    if (desk.name === deployment.flooding) continue;
    const { used, ideal } = runStep(deployment, { policy, desk });
    const peak = Math.max(...ideal);
    const errors = used.map((value, index) => (value - ideal[index]!) / peak);
    const middle = (DOWN_MS - UP_MS) / SAMPLE_MS;
    for (const part of [errors.slice(0, middle), errors.slice(middle)]) {
      settleMs = Math.max(settleMs, findSettling(part));
      reversals += countReversals(part);
    }
  }
  const row = { deployment: deployment.name, policy: policy.name };
  return [
    { measure: "limit-settle", ...row, value: settleMs, unit: "ms" },
    { measure: "limit-reversals", ...row, value: reversals, unit: "count" },
  ];
}

function runStep(
  deployment: Deployment,
  options: { policy: Policy; desk: Desk },
): Samples {
  const { policy, desk } = options;
  const full = desk.executors * SLOTS_PER_EXECUTOR / desk.runTimeMs;
  const low = full * PEAK_LOAD / 100;
  const high = full * PEAK_LOAD;
  const base = { desk, urgency: "normal" as const };
  const demands = [
    { ...base, fromMs: 0, toMs: UP_MS, ratePerMs: low },
    { ...base, fromMs: UP_MS, toMs: DOWN_MS, ratePerMs: high },
    { ...base, fromMs: DOWN_MS, toMs: END_MS, ratePerMs: low },
    ...addFlood(deployment, "urgent")
      .map((flood) => ({ ...flood, fromMs: 0, toMs: END_MS })),
  ];
  const members = deployment.entryHosts;
  const arrivals = drawArrivals(demands, { seed: 3, members });
  const { uses } = simulateRequests({ deployment, policy, arrivals });
  const own = uses.filter((use) => use.service === desk.name);
  const ideal = arrivals.filter(({ service }) => service === desk.name)
    .map(({ atMs, runMs }) => ({ fromMs: atMs, toMs: atMs + runMs }));
  return { used: sampleUse(own), ideal: sampleUse(ideal) };
}

/** Averages the slots in use over the window that ends at each sample. */
function sampleUse(
  uses: readonly Pick<SlotUse, "fromMs" | "toMs">[],
): number[] {
  const samples: number[] = [];
  for (let atMs = UP_MS + SAMPLE_MS; atMs <= END_MS; atMs += SAMPLE_MS) {
    const startMs = atMs - WINDOW_MS;
    let sum = 0;
    for (const use of uses) {
      const usedMs = Math.min(atMs, use.toMs) - Math.max(startMs, use.fromMs);
      if (usedMs > 0) sum += usedMs;
    }
    samples.push(sum / WINDOW_MS);
  }
  return samples;
}

/** Returns the time in milliseconds after which errors are tolerable. */
function findSettling(errors: readonly number[]): number {
  const last = errors.findLastIndex((error) => Math.abs(error) > TOLERANCE);
  return (last + 1) * SAMPLE_MS;
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
