import type { Layout } from "../owned/layout.ts";
import type { OwnerAccess } from "../shown/ask_owner.ts";
import type { PoolReport } from "./pool_report.ts";

/** Longest wait for the report of an owner. */
const REPORT_TIMEOUT_MS = 400;

/**
 * Reserves executors at the owners of all partitions and collects their
 * reports; undefined for an owner that did not answer.
 */
export async function collectReports(
  access: OwnerAccess,
  { layout, reserved, ended }: {
    layout: Layout;
    reserved: readonly string[];
    ended: readonly string[];
  },
): Promise<(PoolReport | undefined)[]> {
  const partitions = [...new Set([...layout.values()].flat())];
  return await Promise.all(partitions.map(async (partition) => {
    const owner = access.local(partition);
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
