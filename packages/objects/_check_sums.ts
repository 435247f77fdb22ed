import { type FleetIndex, sortedEntries } from "./_fleet_index.ts";
import type { ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/** Rounding error of sums of decimal fractions. */
const ROUNDING_ERROR = 1e-6;
const MAX_LISTED = 5;

type Part = [name: string, value: number];

/** Finds pools whose services' shares exceed the pool. */
export function checkShares(set: ObjectSet) {
  const problems: Problem[] = [];
  const pools = new Map<string, Part[]>();
  for (const [name, service] of sortedEntries(set.services)) {
    const parts = pools.get(service.pool) ?? [];
    parts.push([name, service.share_percent]);
    pools.set(service.pool, parts);
  }
  for (const [pool, parts] of pools) {
    const total = sum(parts);
    if (total <= 100 + ROUNDING_ERROR) continue;
    const message =
      `expected the shares of pool ${pool} to add up to at most ` +
      `100 percent, found ${round(total)} (${list(parts)})`;
    problems.push({
      kind: "services",
      name: largest(parts),
      field: "share_percent",
      message,
    });
  }
  return problems;
}

/** Finds quotas that exceed the fleet together. */
export function checkQuotas(set: ObjectSet, index: FleetIndex) {
  const problems: Problem[] = [];
  const teams = sortedEntries(set.teams);
  for (const resource of ["cores", "memory_gb", "accelerators"] as const) {
    const field = `quota_${resource}` as const;
    const parts = teams.map(([name, team]): Part => [name, team[field]]);
    const total = sum(parts);
    const capacity = index.capacity[resource];
    if (total <= capacity + ROUNDING_ERROR) continue;
    const message = `expected the quotas of all teams to add up to at most ` +
      `${round(capacity)}, the fleet's ${resource}, found ${round(total)} ` +
      `(${list(parts)})`;
    problems.push({ kind: "teams", name: largest(parts), field, message });
  }
  return problems;
}

function sum(parts: Part[]) {
  return parts.reduce((total, [, value]) => total + value, 0);
}

/** Returns the name of the largest part, the last one of equal ones. */
function largest(parts: Part[]) {
  return parts.reduce((a, b) => b[1] >= a[1] ? b : a)[0];
}

function list(parts: Part[]) {
  const sorted = parts.toSorted((a, b) => b[1] - a[1]);
  const shown = sorted.slice(0, MAX_LISTED).map(([name, value]) =>
    `${name} ${round(value)}`
  );
  const others = parts.length - shown.length;
  return shown.join(", ") + (others > 0 ? `, ${others} others` : "");
}

function round(value: number) {
  return Math.round(value * 1_000) / 1_000;
}
