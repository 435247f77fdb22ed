import { sortedEntries } from "./_fleet_index.ts";
import { OBJECT_KINDS, type ObjectSet } from "./object_set.ts";
import type { SetChange } from "./set_change.ts";

/**
 * Returns the change that turns one set into another.
 *
 * @example
 * ```ts
 * const change = diffObjectSets(before, after);
 * ```
 */
export function diffObjectSets(
  before: ObjectSet,
  after: ObjectSet,
): SetChange {
  const change: SetChange = { put: {}, removed: [] };
  for (const kind of OBJECT_KINDS) {
    const old: Record<string, object> = before[kind];
    const put = sortedEntries<object>(after[kind]).filter(([name, object]) =>
      !Object.hasOwn(old, name) || !isSameObject(old[name]!, object)
    );
    if (put.length > 0) {
      Object.assign(change.put, { [kind]: Object.fromEntries(put) });
    }
    for (const name of Object.keys(old).sort()) {
      if (!Object.hasOwn(after[kind], name)) {
        change.removed.push({ kind, name });
      }
    }
  }
  return change;
}

/** Compares objects by their fields in any order. */
function isSameObject(a: object, b: object) {
  if (a === b) return true;
  const left = a as Record<string, unknown>;
  const right = b as Record<string, unknown>;
  const isSame = (field: string) => isSameValue(left[field], right[field]);
  return Object.keys(left).every(isSame) && Object.keys(right).every(isSame);
}

/** Compares values of fields: primitive values or lists of them. */
function isSameValue(a: unknown, b: unknown) {
  if (!Array.isArray(a) || !Array.isArray(b)) return a === b;
  return a.length === b.length && a.every((item, i) => item === b[i]);
}
