import { stringify } from "ini";
import { sortedEntries } from "./_fleet_index.ts";
import { KIND_WORDS, OBJECT_KINDS, type ObjectSet } from "./object_set.ts";

/**
 * Formats a set as INI text, sorted by kind and name.
 *
 * @example
 * ```ts
 * const text = formatObjectSet(set);
 * ```
 */
export function formatObjectSet(set: ObjectSet): string {
  const sections: [string, Record<string, unknown>][] = [];
  for (const kind of OBJECT_KINDS) {
    for (const [name, object] of sortedEntries<object>(set[kind])) {
      const fields = Object.entries(object)
        .filter(([, value]) => value !== undefined)
        .map(([field, value]) => [
          field,
          Array.isArray(value) ? value.join(", ") : value,
        ]);
      const title = `${KIND_WORDS[kind]} ${name}`;
      sections.push([title, Object.fromEntries(fields)]);
    }
  }
  return stringify(Object.fromEntries(sections), {
    whitespace: true,
    platform: "linux",
  });
}
