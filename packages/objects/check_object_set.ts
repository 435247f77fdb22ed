import { checkObjects } from "./_check_objects.ts";
import type { ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/**
 * Checks that the objects of a set fit together. The result depends on the set
 * alone and not on the order of its keys, so that every daemon accepts or
 * refuses the same changes. Returns every problem.
 *
 * @example
 * ```ts
 * const problems = checkObjectSet(set);
 * ```
 */
export function checkObjectSet(set: ObjectSet): Problem[] {
  return checkObjects(set, { invalid: [] });
}
