import { checkObjects } from "./_check_objects.ts";
import type { ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/**
 * Checks that the objects of a set are consistent, and returns all problems.
 * The result does not depend on the order of keys, so that every daemon accepts
 * or refuses the same changes.
 *
 * @example
 * ```ts
 * const problems = checkObjectSet(set);
 * ```
 */
export function checkObjectSet(set: ObjectSet): Problem[] {
  return checkObjects(set, { invalid: [] });
}
