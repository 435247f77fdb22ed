/**
 * Arithmetic with amounts of capacity.
 *
 * @module
 */

import type { Size } from "./submission.ts";

/** Returns a size of nothing, to which others may be added. */
export function noCapacity(): Size {
  return { cpu: 0, memoryMb: 0, accelerators: 0 };
}

/** Adds a size to another one, in place, `times` times. */
export function addSize(sum: Size, size: Size, times = 1): void {
  sum.cpu += times * size.cpu;
  sum.memoryMb += times * size.memoryMb;
  sum.accelerators += times * size.accelerators;
}
