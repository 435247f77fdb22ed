import type { Machine } from "../fleet.ts";
import type { PoolReport, ServiceDemand } from "./pool_report.ts";

/** Sums the demand of each service over the partitions. */
export function sumDemand(
  reports: readonly PoolReport[],
): Map<string, ServiceDemand> {
  const sums = new Map<string, ServiceDemand>();
  for (const entry of reports.flatMap((report) => report.demand)) {
    const sum = sums.get(entry.service);
    if (sum === undefined) {
      sums.set(entry.service, { ...entry });
      continue;
    }
    sum.lastingCpu += entry.lastingCpu;
    sum.runningCpu += entry.runningCpu;
    sum.waitingCpu += entry.waitingCpu;
    sum.waitedMs = Math.max(sum.waitedMs, entry.waitedMs);
    sum.leastExecutors += entry.leastExecutors;
  }
  return sums;
}

/** Counts the machines of each pool. */
export function countByPool(machines: readonly Machine[]): Map<string, number> {
  const sizes = new Map<string, number>();
  for (const { pool } of machines) sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
  return sizes;
}
