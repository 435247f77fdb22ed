/**
 * Search for executors that have certainly ended while an owner waits for them.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { ExecutorState } from "../executor_state.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { markExecutorEnded } from "./follow_executors.ts";

/** Pause before each reading of the list of machines. */
const LIST_PAUSE_MS = 300;

/**
 * Ends the wait for executors that do not answer and that no machine has any
 * more. A moved or maintained machine gets another executor, while the list of
 * executors shows the old one for seconds. An executor counts as ended once it
 * is missing from two lists in a row, since a machine that moves may be missing
 * from the pages of one.
 */
export async function confirmEndedExecutors(owner: OwnerState): Promise<void> {
  if (owner.isSearchingEnded || awaitedExecutors(owner).length === 0) return;
  owner.isSearchingEnded = true;
  let missingBefore = new Set<string>();
  await sleep(LIST_PAUSE_MS);
  while (!owner.isClosed && awaitedExecutors(owner).length > 0) {
    const missing = await findMissing(owner);
    if (owner.isClosed) return;
    for (const executor of missing) {
      if (!missingBefore.has(executor)) continue;
      owner.options.events.log("executorEnded", { executor });
      markExecutorEnded(owner, executor);
    }
    missingBefore = missing;
    await sleep(LIST_PAUSE_MS);
  }
  owner.isSearchingEnded = false;
}

/** Returns the executors that the owner waits for and that no machine has. */
async function findMissing(owner: OwnerState): Promise<Set<string>> {
  const machines = await owner.options.listMachines();
  if (machines === undefined || machines.length === 0) return new Set();
  const existing = new Set(machines.map(({ executor }) => executor));
  return new Set(awaitedExecutors(owner).filter((id) => !existing.has(id)));
}

/**
 * Returns the executors that have not answered since the takeover, and those
 * whose runs may go on although the leases of this owner have expired.
 */
function awaitedExecutors(owner: OwnerState): string[] {
  const outlasting = [...owner.executors.values()].filter(mayOutlastLease);
  const ids = outlasting.map(({ id }) => id);
  return [...new Set([...owner.unconfirmedExecutors.keys(), ...ids])];
}

function mayOutlastLease(executor: ExecutorState): boolean {
  const { runs, isRemoved, failedCalls, grantedUntilMs } = executor;
  return runs.size > 0 && (isRemoved || failedCalls > 0) &&
    performance.now() > grantedUntilMs;
}
