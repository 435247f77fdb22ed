import { OBJECT_KINDS, type ObjectSet } from "./object_set.ts";
import type { SetChange } from "./set_change.ts";

/**
 * Returns a new set with a change applied. The original set is not modified.
 *
 * @example
 * ```ts
 * const next = applySetChange(set, { put: {}, removed: [] });
 * ```
 */
export function applySetChange(set: ObjectSet, change: SetChange): ObjectSet {
  const next: ObjectSet = { ...set };
  for (const kind of OBJECT_KINDS) {
    const removed = new Set(
      change.removed.filter((object) => object.kind === kind)
        .map((object) => object.name),
    );
    const put = change.put[kind];
    if (put === undefined && removed.size === 0) continue;
    const objects = Object.entries({ ...set[kind], ...put })
      .filter(([name]) => !removed.has(name));
    Object.assign(next, { [kind]: Object.fromEntries(objects) });
  }
  return next;
}
