/**
 * Adds up demand and machines over partitions and pools.
 *
 * @module
 */

import type { Machine } from "../fleet.ts";
import type { PartitionReport, ServiceDemand } from "./partition_report.ts";

/** Returns the demand of each service over all partitions. */
export function sumDemand(
  reports: readonly PartitionReport[],
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

/** Returns the number of machines of each pool. */
export function countByPool(machines: readonly Machine[]): Map<string, number> {
  const sizes = new Map<string, number>();
  for (const { pool } of machines) sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
  return sizes;
}
