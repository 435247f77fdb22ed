/**
 * Estimates the long-term demand of a pool as a median over time windows, which
 * short floods do not change.
 *
 * @module
 */

/**
 * Time in milliseconds between the starts of two windows, and half the length
 * of each. A window is triangular: its middle weighs most and its ends nothing.
 * This leaves less than 1% of a load that rotates every 80 s, where a plain
 * mean over the same time leaves 7%.
 */
export const DEMAND_WINDOW_MS = 300_000;

/**
 * Number of windows whose median is the estimate. A flood of two minutes
 * changes two windows, and a third by little, so the median stays; an average
 * would follow the flood and take half an hour to recover. A permanent change
 * shows in full after three windows.
 */
export const DEMAND_WINDOWS = 5;

/** Busy time of all hosts, and the time over which it was summed. */
type WeightedSum = { busyMs: number; ms: number };

/** Long-term demand of a pool. */
export type DemandEstimate = {
  /** Typical number of hosts that the requests of the pool keep busy. */
  hosts: number;
  /** Time of the last observation in milliseconds. */
  updatedAtMs: number;
  /** Means of the last complete windows in busy hosts, oldest first. */
  windows: number[];
  /** Time in milliseconds since the last window ended. */
  phaseMs: number;
  /** Window that ends next. */
  ending: WeightedSum;
  /** Window that began when the last one ended. */
  beginning: WeightedSum;
};

/** Observed load of a pool. */
export type LoadObservation = {
  /** Busy hosts: arrivals per second x run time / slots of a host. */
  hosts: number;
  /** Time of the observation in milliseconds. */
  atMs: number;
};

/**
 * Returns the estimate after a further observation, which applies to the time
 * since the previous one. Until the first window is complete, the estimate is
 * the mean so far, so that the first observation does not dominate it.
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
  // Splits the elapsed time between the two windows by the weight that its
  // middle has in the beginning one.
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
  // Skips the first window, which lacks its rising half and would overweigh a
  // part of a rotating load.
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
