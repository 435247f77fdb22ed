/**
 * Random steps of the jobs of a soak test.
 *
 * @module
 */

import type { Step } from "@lagoonloom/jobs";
import { HOST_CAPACITY } from "./host_capacity.ts";

/** Draws a step of lasting tasks or one of short tasks. */
export function drawStep(
  { between, isLasting }: {
    between(low: number, high: number): number;
    isLasting: boolean;
  },
): Partial<Step> {
  if (!isLasting) {
    return {
      count: between(1, 3),
      estimateMs: between(200, 1_500),
      size: { ...HOST_CAPACITY, cpu: between(2, 12) * 100, memoryMb: 500 },
    };
  }
  return {
    isLasting,
    count: between(3, 8),
    maxPerExecutor: between(1, 2),
    maxAway: between(0, 2),
    size: { ...HOST_CAPACITY, cpu: between(6, 14) * 100, memoryMb: 500 },
  };
}
