/**
 * Checks that shares and quotas do not exceed what there is to share.
 *
 * @module
 */

import { type FleetIndex, sortedEntries } from "./_fleet_index.ts";
import type { ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/** Tolerance for the rounding error of sums of decimal fractions. */
const ROUNDING_ERROR = 1e-6;
const MAX_LISTED_AMOUNTS = 5;

type NamedAmount = [name: string, value: number];

/** Finds pools whose services have shares of more than 100 percent together. */
export function checkShares(set: ObjectSet) {
  const problems: Problem[] = [];
  const pools = new Map<string, NamedAmount[]>();
  for (const [name, service] of sortedEntries(set.services)) {
    const amounts = pools.get(service.pool) ?? [];
    amounts.push([name, service.share_percent]);
    pools.set(service.pool, amounts);
  }
  for (const [pool, amounts] of pools) {
    const total = sum(amounts);
    if (total <= 100 + ROUNDING_ERROR) continue;
    const message =
      `expected the shares of pool ${pool} to add up to at most ` +
      `100 percent, found ${round(total)} (${describeLargest(amounts)})`;
    problems.push({
      kind: "services",
      name: nameOfLargest(amounts),
      field: "share_percent",
      message,
    });
  }
  return problems;
}

/** Finds resources of which the teams' quotas exceed the fleet's capacity. */
export function checkQuotas(set: ObjectSet, index: FleetIndex) {
  const problems: Problem[] = [];
  const teams = sortedEntries(set.teams);
  for (const resource of ["cores", "memory_gb", "accelerators"] as const) {
    const field = `quota_${resource}` as const;
    const amounts: NamedAmount[] = teams.map(([name, team]) => [
      name,
      team[field],
    ]);
    const total = sum(amounts);
    const capacity = index.capacity[resource];
    if (total <= capacity + ROUNDING_ERROR) continue;
    const message = `expected the quotas of all teams to add up to at most ` +
      `${round(capacity)}, the fleet's ${resource}, found ${round(total)} ` +
      `(${describeLargest(amounts)})`;
    problems.push({
      kind: "teams",
      name: nameOfLargest(amounts),
      field,
      message,
    });
  }
  return problems;
}

function sum(amounts: NamedAmount[]) {
  return amounts.reduce((total, [, value]) => total + value, 0);
}

/** Returns the name of the largest amount; of equal ones, the last. */
function nameOfLargest(amounts: NamedAmount[]) {
  return amounts.reduce((a, b) => b[1] >= a[1] ? b : a)[0];
}

/** Lists the largest amounts, and how many others there are. */
function describeLargest(amounts: NamedAmount[]) {
  const sorted = amounts.toSorted((a, b) => b[1] - a[1]);
  const shown = sorted.slice(0, MAX_LISTED_AMOUNTS).map(([name, value]) =>
    `${name} ${round(value)}`
  );
  const others = amounts.length - shown.length;
  return shown.join(", ") + (others > 0 ? `, ${others} others` : "");
}

function round(value: number) {
  return Math.round(value * 1_000) / 1_000;
}
