/**
 * Regular search for the full services of a partition.
 *
 * @module
 */

import type { OwnerState } from "../../owned/owner_state.ts";
import { findFullServices, type FullService } from "./full_services.ts";

/** Time for which it is not looked again whether services are full. */
const FULL_SERVICES_AGE_MS = 250;

/**
 * Returns a function that finds the full services of a partition, and looks for
 * them at most every 250 ms.
 */
export function watchFullServices(
  owner: OwnerState,
): () => readonly FullService[] {
  let full: readonly FullService[] = [];
  let foundAtMs = -Infinity;
  return () => {
    const { organisations } = owner.options.view.configuration() ?? {};
    if (organisations === undefined) return [];
    const monotonicMs = performance.now();
    if (monotonicMs - foundAtMs < FULL_SERVICES_AGE_MS) return full;
    foundAtMs = monotonicMs;
    const executors = [...owner.executors.values()];
    const services = new Set(executors.map(({ report }) => report.service));
    full = findFullServices([...services], {
      jobs: [...owner.jobs.values()],
      executors,
      organisations,
      weightBuckets: owner.weightBuckets,
      monotonicMs,
      unixMs: Date.now(),
    });
    return full;
  };
}
