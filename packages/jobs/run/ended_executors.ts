/**
 * Search for executors of earlier owners that have certainly ended.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { markExecutorEnded } from "./follow_executors.ts";

/** Pause before each reading of the list of machines. */
const LIST_PAUSE_MS = 300;

/**
 * Confirms executors that do not answer a new owner and that no machine has any
 * more. A moved or maintained machine gets another executor, while the list of
 * executors shows the old one for seconds. An executor counts as ended once it
 * is missing from two lists in a row, since a machine that moves may be missing
 * from the pages of one.
 */
export async function confirmEndedExecutors(owner: OwnerState): Promise<void> {
  const { options, unconfirmedExecutors } = owner;
  let missingBefore = new Set<string>();
  await sleep(LIST_PAUSE_MS);
  while (!owner.isClosed && unconfirmedExecutors.size > 0) {
    const machines = await options.listMachines();
    if (owner.isClosed) return;
    const missing = new Set<string>();
    if (machines !== undefined && machines.length > 0) {
      const existing = new Set(machines.map(({ executor }) => executor));
      for (const id of unconfirmedExecutors.keys()) {
        if (!existing.has(id)) missing.add(id);
      }
    }
    for (const executor of missing) {
      if (!missingBefore.has(executor)) continue;
      options.events.log("executorEnded", { executor });
      markExecutorEnded(owner, executor);
    }
    missingBefore = missing;
    await sleep(LIST_PAUSE_MS);
  }
}
