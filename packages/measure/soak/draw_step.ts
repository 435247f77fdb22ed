/**
 * Random steps of the jobs of a soak test.
 *
 * @module
 */

import type { Step } from "@lagoonloom/jobs";
import { HOST_CAPACITY } from "./host_capacity.ts";

/** Returns a whole number from a range, both ends included. */
export type Between = (low: number, high: number) => number;

/** Draws a step of lasting tasks or one of short tasks. */
export function drawStep(
  { between, isLasting }: { between: Between; isLasting: boolean },
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

/** Draws a step of lasting tasks that leave room for large ones beside them. */
export function drawSmallLastingStep(between: Between): Partial<Step> {
  const step = drawStep({ between, isLasting: true });
  return { ...step, size: { ...HOST_CAPACITY, cpu: 200, memoryMb: 500 } };
}

/**
 * Draws steps that compete for room: many small ones and one that takes most of
 * an executor, or of several ones at once.
 */
export function drawCompetingSteps(between: Between): Partial<Step>[] {
  const steps: Partial<Step>[] = [];
  for (let count = between(5, 12); count > 0; count--) {
    steps.push({
      count: between(1, 3),
      estimateMs: between(200, 1_500),
      size: { ...HOST_CAPACITY, cpu: between(6, 12) * 100, memoryMb: 500 },
    });
  }
  steps.push({
    count: between(1, 3),
    isGang: between(0, 1) === 1,
    estimateMs: between(200, 1_500),
    size: { ...HOST_CAPACITY, cpu: between(20, 30) * 100, memoryMb: 500 },
  });
  return steps;
}
