import type { ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/**
 * Checks that the objects of a set fit together. The result depends on the set
 * alone, so that every daemon accepts or refuses the same changes.
 *
 * @example
 * ```ts
 * const problems = checkObjectSet(set);
 * ```
 */
export function checkObjectSet(_set: ObjectSet): Problem[] {
  return [];
}
