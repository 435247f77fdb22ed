/**
 * Decides from the failure reports of members which owners are isolated.
 *
 * @module
 */

/** Fewest owners whose reports make another one give up its partitions. */
export const MIN_REPORTERS = 2;

/** Addresses of the members that report an owner, by its address. */
export type Reporters = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Returns whether an owner should give up its partitions: more than half of all
 * owners report it, and another owner that is not reported in this way is left.
 * So the smaller side of a cut gives way and an even one changes nothing. While
 * no owner reaches another one, all go on with their jobs through the store.
 *
 * @example
 * ```ts
 * isIsolated("10.3.0.231:7060", { owners, reporters });
 * ```
 */
export function isIsolated(
  address: string,
  { owners, reporters }: {
    /** Addresses of the members that own partitions now. */
    owners: readonly string[];
    reporters: Reporters;
  },
): boolean {
  if (!owners.includes(address)) return false;
  const isReportedByMost = (owner: string) => {
    const count = countReporters(owner, { owners, reporters });
    return count >= MIN_REPORTERS && count > owners.length / 2;
  };
  return isReportedByMost(address) &&
    owners.some((owner) => !isReportedByMost(owner));
}

/** Counts the owners that report a member; other reports don't count. */
export function countReporters(
  address: string,
  { owners, reporters }: { owners: readonly string[]; reporters: Reporters },
): number {
  return owners.filter((owner) =>
    owner !== address && reporters.get(address)?.has(owner) === true
  ).length;
}
