/**
 * Log of the organisations whose tasks wait for their caps.
 *
 * @module
 */

import type { OwnerState } from "../../owned/owner_state.ts";
import type { OwnerBudget } from "./placement_budget.ts";

/** Shortest time between two log lines of an owner about an organisation. */
const REPEAT_MS = 5_000;

/** Logs which organisations had no budget for a task in a round. */
export function logAtCap(owner: OwnerState, { atLimit }: OwnerBudget): void {
  const { options: { partition, events }, loggedAtCapMs, caps } = owner;
  const nowMs = performance.now();
  for (const [organisation, { mayRun, limit }] of atLimit) {
    const cap = caps.capOf(organisation);
    const lastMs = loggedAtCapMs.get(organisation) ?? -Infinity;
    if (cap === undefined || nowMs - lastMs < REPEAT_MS) continue;
    loggedAtCapMs.set(organisation, nowMs);
    events.log("organisationAtCap", {
      organisation,
      partition,
      mayRunCpu: mayRun.cpu,
      limitCpu: amountOf(limit.cpu),
      capCpu: amountOf(cap.cpu),
      mayRunMemoryMb: mayRun.memoryMb,
      limitMemoryMb: amountOf(limit.memoryMb),
      capMemoryMb: amountOf(cap.memoryMb),
      mayRunAccelerators: mayRun.accelerators,
      limitAccelerators: amountOf(limit.accelerators),
      capAccelerators: amountOf(cap.accelerators),
    });
  }
}

/** Returns an amount as operators write it: 0 stands for no limit. */
function amountOf(limit: number): number {
  return limit === Infinity ? 0 : Math.floor(limit);
}
