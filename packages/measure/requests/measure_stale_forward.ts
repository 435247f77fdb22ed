import type { MeasureRow } from "../measure_row.ts";
import { createRandom } from "../random.ts";
import { computeRunLength, drawArrivals, rotateDemand } from "./demand.ts";
import { type Deployment, DEPLOYMENTS } from "./deployment.ts";
import { CHOSEN } from "./policy.ts";
import { type SetChange, simulateRequests } from "./simulate_requests.ts";
import { listExecutors } from "./topologies.ts";

/** Time between two changes of the set in milliseconds. */
const CHANGE_GAP_MS = 1_000;

/** Changes after which a leaving executor is back in service. */
const CHANGES_OUT = 4;

/** Longest time until an entry host sees a change in milliseconds. */
const MAX_DELAY_MS = 3_000;

/**
 * Measures forwarded requests that ran on an executor that their sender already
 * knew to be leaving (`stale-forward`), while entry hosts see changes of the
 * set up to 3 s apart. `chosen` forwards without a version; the baseline
 * `version-check` has a receiver with an older set refuse the request, back to
 * the sender as not run. `stale-forward-all-starts` counts all starts on an
 * executor that some entry host knew to be leaving; `stale-forward-goodput` is
 * the share of all requests answered within their deadline. The bound is 0.
 *
 * @example
 * ```ts
 * const rows = measureStaleForward();
 * ```
 */
export function measureStaleForward(): MeasureRow[] {
  return DEPLOYMENTS.flatMap((deployment) => [
    ...measureCase(deployment, { policy: "chosen", isVersionChecked: false }),
    ...measureCase(deployment, {
      policy: "baseline:version-check",
      isVersionChecked: true,
    }),
  ]);
}

function measureCase(
  deployment: Deployment,
  options: { policy: string; isVersionChecked: boolean },
): MeasureRow[] {
  const { policy, isVersionChecked } = options;
  const arrivals = drawArrivals(rotateDemand(deployment), {
    seed: 4,
    members: deployment.entryHosts,
  });
  const { stale, onLeaving, forwarded, returned, good } = simulateRequests({
    deployment,
    policy: CHOSEN,
    arrivals,
    changes: drawChanges(deployment),
    isVersionChecked,
  });
  const share = (value: number) => Number(value.toFixed(4));
  const row = { deployment: deployment.name, policy };
  const count = { ...row, unit: "requests" };
  return [
    { ...count, measure: "stale-forward", value: stale },
    { ...count, measure: "stale-forward-all-starts", value: onLeaving },
    { ...count, measure: "stale-forward-sent", value: forwarded },
    { ...count, measure: "stale-forward-returned", value: returned },
    {
      ...row,
      measure: "stale-forward-goodput",
      value: share(good.size / arrivals.length),
      unit: "ratio",
    },
  ];
}

/** Lets one executor after the other leave and return. */
function drawChanges(deployment: Deployment): SetChange[] {
  const random = createRandom(5);
  const names = listExecutors(deployment).map((executor) => executor.name);
  const changes: SetChange[] = [];
  const lastSeenMs = new Map<number, number>();
  const leaving: string[] = [];
  const endMs = computeRunLength(deployment);
  for (let version = 1; version * CHANGE_GAP_MS < endMs; version++) {
    leaving.push(names[Math.floor(random() * names.length)]!);
    if (leaving.length > CHANGES_OUT) leaving.shift();
    for (let member = 0; member < deployment.entryHosts; member++) {
      const atMs = Math.max(
        version * CHANGE_GAP_MS + random() * MAX_DELAY_MS,
        lastSeenMs.get(member) ?? 0,
      );
      lastSeenMs.set(member, atMs);
      changes.push({ member, atMs, version, leaving: new Set(leaving) });
    }
  }
  return changes;
}
