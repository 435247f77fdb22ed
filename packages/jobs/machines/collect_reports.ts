import { type Layout, servicePartitions } from "../owned/layout.ts";
import type { OwnerAccess } from "../queries/query_owner.ts";
import type { PartitionReport } from "./partition_report.ts";

/** Longest wait for another member's report. */
const REPORT_TIMEOUT_MS = 400;

/**
 * Reserves executors at the owners of all partitions, tells them which
 * executors have ended, and collects their reports.
 *
 * @returns one report per partition, undefined if its owner did not answer
 */
export async function collectReports(
  access: OwnerAccess,
  { layout, reserved, ended }: {
    layout: Layout;
    /** Executors that get no new tasks and are drained. */
    reserved: readonly string[];
    /** Executors that a move or upkeep has ended. */
    ended: readonly string[];
  },
): Promise<(PartitionReport | undefined)[]> {
  const partitions = [...servicePartitions(layout)];
  return await Promise.all(partitions.map(async (partition) => {
    const owner = access.localOwner(partition);
    if (owner !== undefined) {
      return owner.isLoaded()
        ? owner.reserveAndReport(new Set(reserved), ended)
        : undefined;
    }
    const address = await access.directory.find(partition);
    if (address === undefined || address === access.ownAddress) {
      access.directory.invalidate();
      return undefined;
    }
    const answer = await access.client(address).report(
      { partition, reserved: [...reserved], ended: [...ended] },
      REPORT_TIMEOUT_MS,
    );
    if (answer?.isOwner === true) return answer;
    access.directory.invalidate();
    return undefined;
  }));
}
