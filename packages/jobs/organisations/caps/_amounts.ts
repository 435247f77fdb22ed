/**
 * Arithmetic on amounts of processor time, memory and accelerators.
 *
 * @module
 */

import type { Size } from "../../submission.ts";

/** Resource that a {@linkcode Size} gives the amount of. */
export type Resource = keyof Size;

/** All resources. */
export const RESOURCES: readonly Resource[] = [
  "cpu",
  "memoryMb",
  "accelerators",
];

/** Amount of nothing. */
export const NOTHING: Size = { cpu: 0, memoryMb: 0, accelerators: 0 };

/** Creates a size from the amount of each resource. */
export function sizeOf(amountOf: (resource: Resource) => number): Size {
  return {
    cpu: amountOf("cpu"),
    memoryMb: amountOf("memoryMb"),
    accelerators: amountOf("accelerators"),
  };
}

/** Returns the sum of two sizes, the second one taken several times. */
export function plus(left: Size, right: Size, times = 1): Size {
  return sizeOf((resource) => left[resource] + times * right[resource]);
}

/** Returns the larger amount of each resource. */
export function largerOf(left: Size, right: Size): Size {
  return sizeOf((resource) => Math.max(left[resource], right[resource]));
}

/** Returns the smaller amount of each resource. */
export function smallerOf(left: Size, right: Size): Size {
  return sizeOf((resource) => Math.min(left[resource], right[resource]));
}

/** Returns how many times a size fits into another one. */
export function countFitting(size: Size, free: Size): number {
  let count = Infinity;
  for (const resource of RESOURCES) {
    if (size[resource] <= 0) continue;
    count = Math.min(count, Math.floor(free[resource] / size[resource]));
  }
  return Math.max(0, count);
}

/** Returns whether a size is nothing of any resource. */
export function isNothing(size: Size): boolean {
  return RESOURCES.every((resource) => size[resource] <= 0);
}

/** Returns a size in whole amounts, none of them smaller. */
export function roundUp(size: Size): Size {
  return sizeOf((resource) => Math.ceil(size[resource]));
}
