/**
 * What organisations use at owners, for metrics.
 *
 * @module
 */

import type { OwnerState } from "../../owned/owner_state.ts";
import type { Size } from "../../submission.ts";
import { NOTHING, plus } from "./_amounts.ts";
import { countMayRun } from "./organisation_use.ts";

/** What an organisation uses at the owner of a partition, or at several. */
export type OrganisationUse = {
  /** What may be running. */
  mayRun: Size;
  /** What may run without a higher limit. */
  limit: Size;
  /** What may run at all owners together; Infinity if there is no limit. */
  cap: Size;
};

/** Returns what the organisations with caps use in a partition. */
export function readOrganisationUse(
  owner: OwnerState,
): Map<string, OrganisationUse> {
  const caps = owner.caps.all();
  if (caps.size === 0) return new Map();
  const { known, unknown } = countMayRun(owner);
  return new Map([...caps].map(([name, cap]) => [name, {
    mayRun: plus(known.get(name) ?? NOTHING, unknown),
    limit: owner.limits.limitOf(name, cap),
    cap,
  }]));
}

/** Adds up what the organisations use in several partitions. */
export function sumOrganisationUse(
  uses: Iterable<ReadonlyMap<string, OrganisationUse>>,
): Map<string, OrganisationUse> {
  const sums = new Map<string, OrganisationUse>();
  for (const [name, use] of [...uses].flatMap((it) => [...it])) {
    const sum = sums.get(name);
    sums.set(name, {
      mayRun: plus(use.mayRun, sum?.mayRun ?? NOTHING),
      limit: plus(use.limit, sum?.limit ?? NOTHING),
      cap: use.cap,
    });
  }
  return sums;
}
