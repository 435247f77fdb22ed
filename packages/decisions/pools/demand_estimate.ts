/**
 * Time in milliseconds between two windows, and half the length of each. A
 * window weighs its middle most and its ends not at all, which leaves less than
 * 1% of a rotation of 80 s; a plain mean over the same time leaves 7%.
 */
export const DEMAND_WINDOW_MS = 300_000;

/**
 * Windows whose median is the estimate. A flood of two minutes changes two
 * windows, and a third by little, so the others hold the median where it was;
 * an average would follow the flood and take half an hour to forget it. A
 * lasting change shows after three windows, in full.
 */
export const DEMAND_WINDOWS = 5;

/** Host milliseconds and the milliseconds in which they were counted. */
type WeightedSum = { busyMs: number; ms: number };

/** Long-term demand of a pool. */
export type DemandEstimate = {
  /** Typical number of hosts that the work of the pool keeps busy. */
  hosts: number;
  updatedAtMs: number;
  /** Means of the last full windows in busy hosts, oldest first. */
  windows: number[];
  /** Time since the last window ended in milliseconds. */
  phaseMs: number;
  /** Window that ends next, and the one that began when the last one ended. */
  ending: WeightedSum;
  beginning: WeightedSum;
};

/** One observation of the load of a pool. */
export type LoadObservation = {
  /** Busy hosts: arrivals per second x run time / slots of a host. */
  hosts: number;
  atMs: number;
};

/**
 * Returns the estimate after one more observation, which holds for the time
 * since the one before. Until the first window is full it is the mean so far,
 * so the first observation does not dominate.
 *
 * @example
 * ```ts
 * const next = observeDemand(estimate, { hosts: 4.2, atMs: Date.now() });
 * ```
 */
export function observeDemand(
  estimate: DemandEstimate | undefined,
  { hosts, atMs }: LoadObservation,
): DemandEstimate {
  const emptySum = { busyMs: 0, ms: 0 };
  if (estimate === undefined) {
    const sums = { phaseMs: 0, ending: emptySum, beginning: emptySum };
    return { hosts, updatedAtMs: atMs, windows: [], ...sums };
  }
  const elapsedMs = Math.max(0, atMs - estimate.updatedAtMs);
  const phaseMs = estimate.phaseMs + elapsedMs;
  // Weight of the middle of the elapsed time in the window that began.
  const middleMs = estimate.phaseMs + elapsedMs / 2;
  const weight = Math.min(1, middleMs / DEMAND_WINDOW_MS);
  const ending = add(estimate.ending, hosts, elapsedMs * (1 - weight));
  const beginning = add(estimate.beginning, hosts, elapsedMs * weight);
  const next = { ...estimate, updatedAtMs: atMs, phaseMs, ending, beginning };
  const hasWindow = estimate.windows.length > 0;
  if (!hasWindow && phaseMs > 0) {
    const ms = ending.ms + beginning.ms;
    next.hosts = (ending.busyMs + beginning.busyMs) / ms;
  }
  if (phaseMs < DEMAND_WINDOW_MS) return next;
  // The first window lacks its rising half, so it would favour a part of the
  // rotation.
  const isComplete = ending.ms > DEMAND_WINDOW_MS * 3 / 4;
  const windows = isComplete
    ? [...estimate.windows, ending.busyMs / ending.ms].slice(-DEMAND_WINDOWS)
    : estimate.windows;
  return {
    hosts: isComplete ? median(windows) : next.hosts,
    updatedAtMs: atMs,
    windows,
    phaseMs: 0,
    ending: beginning,
    beginning: emptySum,
  };
}

function add(sum: WeightedSum, hosts: number, ms: number): WeightedSum {
  return { busyMs: sum.busyMs + hosts * ms, ms: sum.ms + ms };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = (sorted.length - 1) / 2;
  return (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
}
