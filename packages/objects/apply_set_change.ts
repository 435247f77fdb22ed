import { OBJECT_KINDS, type ObjectSet } from "./object_set.ts";
import type { SetChange } from "./set_change.ts";

/**
 * Returns the set that a change makes of another one, which stays as it is.
 *
 * @example
 * ```ts
 * const next = applySetChange(set, { put: {}, removed: [] });
 * ```
 */
export function applySetChange(set: ObjectSet, change: SetChange): ObjectSet {
  const next: ObjectSet = { ...set };
  for (const kind of OBJECT_KINDS) {
    const removed = change.removed.filter((object) => object.kind === kind);
    const put = change.put[kind];
    if (put === undefined && removed.length === 0) continue;
    const objects: Record<string, unknown> = { ...set[kind], ...put };
    for (const { name } of removed) delete objects[name];
    Object.assign(next, { [kind]: objects });
  }
  return next;
}
