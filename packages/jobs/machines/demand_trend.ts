/**
 * Growth of the demand of services.
 *
 * @module
 */

import type { ServiceDemand } from "./partition_report.ts";

/** Time over which growth is measured, in milliseconds. */
const WINDOW_MS = 1_000;

/** Shortest time between two reports from which growth follows. */
const MIN_SPAN_MS = 400;

/** Growth of the demand of each service. */
export type DemandTrend = {
  /** Adds the demand that was reported now. */
  add(demand: ReadonlyMap<string, ServiceDemand>): void;
  /**
   * Returns by how many thousandths of a core the demand of a service has
   * grown in a second; 0 if it has not, or is not known for long enough.
   */
  growthOf(service: string): number;
};

type Sample = { atMs: number; cpu: number };

/**
 * Creates the record of the last second.
 *
 * @example
 * ```ts
 * const trend = createDemandTrend();
 * trend.add(demand);
 * trend.growthOf("quoting");
 * ```
 */
export function createDemandTrend(): DemandTrend {
  const samples = new Map<string, Sample[]>();
  return {
    add(demand) {
      const atMs = performance.now();
      for (const service of samples.keys()) {
        if (!demand.has(service)) samples.delete(service);
      }
      for (const [service, entry] of demand) {
        const recent = (samples.get(service) ?? [])
          .filter((sample) => atMs - sample.atMs <= WINDOW_MS);
        recent.push({ atMs, cpu: totalCpuOf(entry) });
        samples.set(service, recent);
      }
    },
    growthOf(service) {
      const recent = samples.get(service) ?? [];
      const first = recent[0];
      const last = recent.at(-1);
      if (first === undefined || last === undefined) return 0;
      const spanMs = last.atMs - first.atMs;
      if (spanMs < MIN_SPAN_MS) return 0;
      return Math.max(0, (last.cpu - first.cpu) * 1_000 / spanMs);
    },
  };
}

/** Returns the demand of a service in thousandths of a core. */
export function totalCpuOf(
  { lastingCpu, runningCpu, waitingCpu }: ServiceDemand,
): number {
  return lastingCpu + runningCpu + waitingCpu;
}
