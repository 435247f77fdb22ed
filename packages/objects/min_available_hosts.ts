import type { Budget } from "./budget.ts";

/**
 * Returns the number of hosts of a pool that a budget keeps in service: the
 * larger of its count and its share of the pool, rounded up.
 *
 * @example
 * ```ts
 * minAvailableHosts({ service: "quotes", min_available_percent: 70 }, 6); // 5
 * ```
 */
export function minAvailableHosts(budget: Budget, poolSize: number): number {
  const percent = budget.min_available_percent ?? 0;
  // Rounding removes floating-point errors, as in 0.07 * 100.
  const share = Math.round(percent * poolSize * 1e6) / 1e8;
  return Math.max(budget.min_available ?? 0, Math.ceil(share));
}
