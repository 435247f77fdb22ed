import type { MeasureRow } from "../measure_row.ts";
import { createRandom } from "../random.ts";
import {
  computeRunLengthMs,
  createRotatingDemand,
  drawArrivals,
} from "./demand.ts";
import { type Deployment, DEPLOYMENTS } from "./deployment.ts";
import { CHOSEN } from "./policy.ts";
import {
  type ObservedSetChange,
  simulateRequests,
} from "./simulate_requests.ts";
import { listExecutors } from "./topologies.ts";

/** Time between two changes of the object set in milliseconds. */
const CHANGE_GAP_MS = 1_000;

/** Number of changes after which a leaving executor is back in service. */
const CHANGES_UNTIL_RETURN = 4;

/** Longest time until an entry host folds a change in milliseconds. */
const MAX_DELAY_MS = 3_000;

/**
 * Counts forwarded requests that ran on an executor of which their sender
 * already knew that it was leaving (`stale-forward`), while entry hosts fold
 * changes of the object set up to 3 s apart. The policy `chosen` does not send
 * its version of the set with a request; with the baseline `version-check`, a
 * receiver with an older set returns the request to the sender as not run.
 * `stale-forward-all-starts` counts all starts on an executor of which any
 * entry host knew that it was leaving; `stale-forward-goodput` is the share of
 * all requests answered within their deadline. The bound is 0.
 *
 * @example
 * ```ts
 * const rows = measureStaleForward();
 * ```
 */
export function measureStaleForward(): MeasureRow[] {
  return DEPLOYMENTS.flatMap((deployment) => [
    ...measurePolicy(deployment, { policy: "chosen", isVersionChecked: false }),
    ...measurePolicy(deployment, {
      policy: "baseline:version-check",
      isVersionChecked: true,
    }),
  ]);
}

function measurePolicy(
  deployment: Deployment,
  options: { policy: string; isVersionChecked: boolean },
): MeasureRow[] {
  const { policy, isVersionChecked } = options;
  const arrivals = drawArrivals(createRotatingDemand(deployment), {
    seed: 4,
    members: deployment.entryHosts,
  });
  const {
    staleStarts,
    startsOnLeaving,
    forwarded,
    returned,
    answeredInTime,
  } = simulateRequests({
    deployment,
    policy: CHOSEN,
    arrivals,
    changes: drawChanges(deployment),
    isVersionChecked,
  });
  const round = (value: number) => Number(value.toFixed(4));
  const row = { deployment: deployment.name, policy };
  const count = { ...row, unit: "requests" };
  return [
    { ...count, measure: "stale-forward", value: staleStarts },
    { ...count, measure: "stale-forward-all-starts", value: startsOnLeaving },
    { ...count, measure: "stale-forward-sent", value: forwarded },
    { ...count, measure: "stale-forward-returned", value: returned },
    {
      ...row,
      measure: "stale-forward-goodput",
      value: round(answeredInTime.size / arrivals.length),
      unit: "ratio",
    },
  ];
}

/** Returns changes by which one executor after the other leaves and returns. */
function drawChanges(deployment: Deployment): ObservedSetChange[] {
  const random = createRandom(5);
  const names = listExecutors(deployment).map((executor) => executor.name);
  const changes: ObservedSetChange[] = [];
  const lastFoldedMs = new Map<number, number>();
  const leaving: string[] = [];
  const endMs = computeRunLengthMs(deployment);
  for (let version = 1; version * CHANGE_GAP_MS < endMs; version++) {
    leaving.push(names[Math.floor(random() * names.length)]!);
    if (leaving.length > CHANGES_UNTIL_RETURN) leaving.shift();
    for (let member = 0; member < deployment.entryHosts; member++) {
      const atMs = Math.max(
        version * CHANGE_GAP_MS + random() * MAX_DELAY_MS,
        lastFoldedMs.get(member) ?? 0,
      );
      lastFoldedMs.set(member, atMs);
      changes.push({ member, atMs, version, leaving: new Set(leaving) });
    }
  }
  return changes;
}
