import { sortedEntries } from "./_fleet_index.ts";
import { KIND_WORDS, OBJECT_KINDS, type ObjectSet } from "./object_set.ts";
import type { SetChange } from "./set_change.ts";

/**
 * Describes a change for people, one line for each object: `+` is added, `~` is
 * changed and `-` is removed.
 *
 * @example
 * ```ts
 * const lines = describeChange(change, before);
 * // ["~ host h1: slots 8 -> 4", "- team archive"]
 * ```
 */
export function describeChange(change: SetChange, before: ObjectSet): string[] {
  const lines: string[] = [];
  for (const kind of OBJECT_KINDS) {
    const word = KIND_WORDS[kind];
    const old: Record<string, object> = before[kind];
    const put: Record<string, object> = change.put[kind] ?? {};
    for (const [name, object] of sortedEntries(put)) {
      lines.push(
        Object.hasOwn(old, name)
          ? `~ ${word} ${name}: ${describeFields(old[name]!, object)}`
          : `+ ${word} ${name}`,
      );
    }
    for (const { name } of change.removed.filter((o) => o.kind === kind)) {
      lines.push(`- ${word} ${name}`);
    }
  }
  return lines;
}

function describeFields(before: object, after: object) {
  const old = new Map(Object.entries(before));
  const fields = new Map(Object.entries(after));
  const names = [...new Set([...old.keys(), ...fields.keys()])];
  return names
    .filter((name) => format(old.get(name)) !== format(fields.get(name)))
    .map((name) =>
      `${name} ${format(old.get(name))} -> ${format(fields.get(name))}`
    )
    .join(", ");
}

function format(value: unknown) {
  if (Array.isArray(value)) return value.join(" ") || "none";
  return value === undefined ? "none" : String(value);
}
