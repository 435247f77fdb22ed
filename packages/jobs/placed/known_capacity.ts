import type { ExecutorState } from "../executor_state.ts";
import type { OwnerState } from "../owned/owner_state.ts";

/**
 * Longest age of the list of executors with which tasks start on those that do
 * not guard their capacity. A capacity that has shrunk counts 4.5 s later, and
 * the list may show it only after a heartbeat of 1.5 s.
 */
const MAX_LIST_AGE_MS = 2_500;

/**
 * Returns whether the capacity of an executor is known well enough to start
 * tasks there. Without the list, an owner may still use those that refuse what
 * exceeds their capacity.
 */
export function isCapacityKnown(
  { options: { view } }: OwnerState,
  { report }: ExecutorState,
): boolean {
  const ageMs = performance.now() - view.executorsReadAtMs();
  if (ageMs <= MAX_LIST_AGE_MS) return true;
  const service = view.configuration()?.services
    .find(({ name }) => name === report.service);
  return service?.enforcesCapacity === true;
}
