/**
 * Grants of leases that the next process of an executor may carry out late.
 * Their expiry is by the clock of the earlier process, so that the next one,
 * whose clock starts anew, grants the longest lease to all that runs there.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { LateGrant } from "../model.ts";
import { longestLeaseMs, type OwnerState } from "../owned/owner_state.ts";
import { hasOneProcess } from "../placed/used_executors.ts";
import { latestGrantMs, MAX_LATENESS_MS } from "./_executor_clock.ts";

/** Makes a call that grants a lease and remembers it until it is answered. */
export async function callGranting<Outcome extends { type: string }>(
  { openGrants }: ExecutorState,
  call: () => Promise<Outcome>,
): Promise<Outcome> {
  const sentAtMs = performance.now();
  for (const grant of openGrants) {
    if (grant.sentAtMs < sentAtMs - MAX_LATENESS_MS) openGrants.delete(grant);
  }
  const grant = { sentAtMs };
  openGrants.add(grant);
  const outcome = await call();
  if (outcome.type !== "unknown") openGrants.delete(grant);
  return outcome;
}

/** Remembers the newest open grant of a process that is given up. */
export function recordLateGrant(
  owner: OwnerState,
  executor: ExecutorState,
): void {
  for (const id of owner.lateGrants.keys()) {
    if (recentGrants(owner, id).length === 0) owner.lateGrants.delete(id);
  }
  const { id, openGrants, report: { startedAtMs } } = executor;
  if (openGrants.size === 0) return;
  const grant = { startedAtMs, sentAtMs: latestGrantMs(executor) };
  owner.lateGrants.set(id, [...recentGrants(owner, id), grant]);
}

/** Returns the grants that may still hold on a next process. */
function recentGrants(owner: OwnerState, id: string): LateGrant[] {
  const sinceMs = performance.now() - MAX_LATENESS_MS - longestMs(owner);
  const grants = owner.lateGrants.get(id) ?? [];
  return grants.filter(({ sentAtMs }) => sentAtMs >= sinceMs);
}

/**
 * Returns the monotonic time until which an executor that answers for the first
 * time may hold a lease that is longer than this owner knows. One by the clock
 * of an earlier process is as long as the platform grants.
 */
export function foreignLeaseEndsMs(
  owner: OwnerState,
  { id, report }: ExecutorState,
): number {
  const inherited = owner.inheritedExecutors.get(id);
  const isForeign = inherited !== undefined &&
    !hasOneProcess(inherited, report);
  const endsMs = isForeign ? [performance.now() + longestMs(owner)] : [];
  for (const { startedAtMs, sentAtMs } of recentGrants(owner, id)) {
    if (startedAtMs === report.startedAtMs) continue;
    endsMs.push(sentAtMs + MAX_LATENESS_MS + longestMs(owner));
  }
  return Math.max(0, ...endsMs);
}

function longestMs({ options }: OwnerState): number {
  return longestLeaseMs(options.maxLeaseMs);
}
