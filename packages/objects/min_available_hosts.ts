import type { Budget } from "./budget.ts";

/** Rounding error of percentages that must not add a host. */
const ROUNDING_ERROR = 1e-9;

/**
 * Returns the fewest hosts of a pool that a budget keeps in service: the larger
 * one of its count and its share, which is rounded up.
 *
 * @example
 * ```ts
 * minAvailableHosts({ service: "quotes", min_available_percent: 70 }, 6); // 5
 * ```
 */
export function minAvailableHosts(budget: Budget, poolSize: number): number {
  const share = poolSize * (budget.min_available_percent ?? 0) / 100;
  return Math.max(
    budget.min_available ?? 0,
    Math.ceil(share - ROUNDING_ERROR),
  );
}
