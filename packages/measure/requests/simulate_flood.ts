import type { Arrival } from "./demand.ts";
import type { Deployment } from "./deployment.ts";
import { computeKeptGoodput } from "./measure_flood.ts";
import type { Policy } from "./policy.ts";
import { type RunResult, simulateRequests } from "./simulate_requests.ts";

/**
 * Simulates requests with and without a flood, and compares the goodput of the
 * desks that it does not come from.
 *
 * @example
 * ```ts
 * const { kept } = simulateFlood(LAKESHORE, {
 *   policy: CHOSEN,
 *   baseArrivals,
 *   arrivals,
 * });
 * ```
 */
export function simulateFlood(
  deployment: Deployment,
  { policy, baseArrivals, arrivals }: {
    policy: Policy;
    /** Requests without those of the flood. */
    baseArrivals: readonly Arrival[];
    /** All requests, in order of time. */
    arrivals: readonly Arrival[];
  },
): { withFlood: RunResult; kept: number } {
  const withoutFlood = simulateRequests({
    deployment,
    policy,
    arrivals: baseArrivals,
  });
  const withFlood = simulateRequests({ deployment, policy, arrivals });
  const kept = computeKeptGoodput(deployment, {
    baseArrivals,
    withoutFlood,
    withFlood,
  });
  return { withFlood, kept };
}
