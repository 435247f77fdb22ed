/**
 * Collects the reports of partition owners for the owner of the machines.
 *
 * @module
 */

import type { CallTimeout } from "@lagoonloom/peers";
import { sleep } from "../_sleep.ts";
import { type Layout, servicePartitions } from "../owned/layout.ts";
import type { OwnerAccess } from "../queries/query_owner.ts";
import type { PartitionReport, ServiceDemand } from "./partition_report.ts";

/** Longest wait of a round for the reports that it requests. */
const ROUND_TIMEOUT_MS = 400;

/** Longest wait for another member's report, which a later round may use. */
const REPORT_TIMEOUT: CallTimeout = { leastMs: 400, mostMs: 2_000 };

/**
 * Age up to which the demand of a partition counts without a newer report. Two
 * reports in a row may each take as long as a call.
 */
const MAX_DEMAND_AGE_MS = 5_000;

/** What a round of reports tells the owners of partitions. */
export type ReportRound = {
  layout: Layout;
  /** Executors that get no new tasks and are drained. */
  reserved: readonly string[];
  /** Executors that a move or upkeep has ended. */
  ended: readonly string[];
};

/** Collector of the reports of all partitions. */
export type ReportCollector = {
  /**
   * Reserves executors at the owners of all partitions, tells them which
   * executors have ended, and collects their reports. In place of a report that
   * does not come in time, the last one counts for a while, without executors:
   * only an answer to this round tells that they are reserved.
   *
   * @returns one report per partition, undefined if there is none
   */
  collect(round: ReportRound): Promise<(PartitionReport | undefined)[]>;
};

type ReportedDemand = {
  demand: readonly ServiceDemand[];
  /** Monotonic time of the request. */
  requestedAtMs: number;
};

/**
 * Creates a collector. A partition is sent one request at a time, so that a
 * silent owner holds up no later round.
 *
 * @example
 * ```ts
 * const reports = createReportCollector(access);
 * const collected = await reports.collect({ layout, reserved, ended });
 * ```
 */
export function createReportCollector(access: OwnerAccess): ReportCollector {
  const lastDemand = new Map<number, ReportedDemand>();
  /** Partitions whose owners have yet to answer. */
  const requested = new Set<number>();

  const requestRemote = async (
    partition: number,
    { reserved, ended }: ReportRound,
  ): Promise<PartitionReport | undefined> => {
    const address = await access.directory.find(partition);
    if (address !== undefined && address !== access.ownAddress) {
      const answer = await access.client(address).report(
        { partition, reserved: [...reserved], ended: [...ended] },
        REPORT_TIMEOUT,
      );
      if (answer?.isOwner === true) return answer;
    }
    access.directory.invalidate();
    return undefined;
  };

  const request = async (partition: number, round: ReportRound) => {
    const requestedAtMs = performance.now();
    const owner = access.localOwner(partition);
    let report: PartitionReport | undefined;
    if (owner === undefined) {
      requested.add(partition);
      report = await requestRemote(partition, round);
      requested.delete(partition);
    } else if (owner.isLoaded()) {
      report = owner.reserveAndReport(new Set(round.reserved), round.ended);
    }
    if (report !== undefined) {
      lastDemand.set(partition, { demand: report.demand, requestedAtMs });
    }
    return report;
  };

  /** Returns the last demand of a partition as a report without executors. */
  const recallDemand = (partition: number): PartitionReport | undefined => {
    const last = lastDemand.get(partition);
    if (last === undefined) return undefined;
    const ageMs = performance.now() - last.requestedAtMs;
    if (ageMs > MAX_DEMAND_AGE_MS) return undefined;
    return { demand: [...last.demand], busy: [], idle: [] };
  };

  return {
    async collect(round) {
      const partitions = [...servicePartitions(round.layout)];
      const timeout = sleep(ROUND_TIMEOUT_MS).then(() => undefined);
      return await Promise.all(partitions.map(async (partition) => {
        if (requested.has(partition)) return recallDemand(partition);
        const report = await Promise.race([request(partition, round), timeout]);
        return report ?? recallDemand(partition);
      }));
    },
  };
}
