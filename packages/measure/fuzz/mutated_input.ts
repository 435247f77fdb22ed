/**
 * Generates malformed input by mutation of valid input.
 *
 * @module
 */

import fc from "fast-check";

/** Values that parsers and property lookups often handle wrongly. */
export const HOSTILE_VALUES: readonly unknown[] = [
  "__proto__",
  "constructor",
  "toString",
  "",
  "\0",
  "\u2028",
  "a".repeat(70_000),
  -1,
  0.5,
  2 ** 53,
  1e308,
  null,
  true,
  [],
  {},
  [[]],
];

/** Mutation of one line of a text; `swap` replaces its end by a fragment. */
type LineMutation = {
  position: number;
  kind: "drop" | "twice" | "swap";
  piece: string;
};

const FRAGMENTS = '[ ] = ; # " \\ [pool a] [host __proto__] 0x1 1e999 -1'.split(
  " ",
);

const lineMutations: fc.Arbitrary<LineMutation[]> = fc.array(
  fc.record({
    position: fc.nat(200),
    kind: fc.constantFrom("drop", "twice", "swap"),
    piece: fc.oneof(
      fc.constantFrom(...FRAGMENTS),
      fc.string({ unit: "binary" }),
    ),
  }),
  { minLength: 1, maxLength: 6 },
);

/**
 * Generates texts that differ from a valid one in a few lines.
 *
 * @example
 * ```ts
 * const texts = mutatedTexts("[pool a]\n");
 * ```
 */
export function mutatedTexts(text: string): fc.Arbitrary<string> {
  return lineMutations.map((list) => {
    const lines = text.split("\n");
    for (const { position, kind, piece } of list) {
      const index = position % lines.length;
      const line = lines[index] ?? "";
      if (kind === "drop") lines.splice(index, 1);
      else if (kind === "twice") lines.splice(index, 0, line);
      else lines[index] = line.slice(0, position % (line.length + 1)) + piece;
      if (lines.length === 0) lines.push(piece);
    }
    return lines.join("\n");
  });
}

/**
 * Generates values that differ from a valid one in up to three members.
 *
 * @example
 * ```ts
 * const bodies = mutatedValues({ type: "member.left", member: "e1" });
 * ```
 */
export function mutatedValues(valid: unknown): fc.Arbitrary<unknown> {
  const edit = fc.record({
    path: fc.array(fc.nat(20), { minLength: 1, maxLength: 5 }),
    value: fc.oneof(fc.constantFrom(...HOSTILE_VALUES), fc.jsonValue()),
    isRemoval: fc.boolean(),
  });
  return fc.array(edit, { maxLength: 3 }).map((list) => {
    const copy = JSON.parse(JSON.stringify(valid)) as unknown;
    for (const item of list) mutateMember(copy, item);
    return copy;
  });
}

type MemberMutation = { path: number[]; value: unknown; isRemoval: boolean };

function mutateMember(
  root: unknown,
  { path, value, isRemoval }: MemberMutation,
) {
  let target = root as Record<string, unknown>;
  for (const [depth, step] of path.entries()) {
    const names = Object.keys(target);
    const name = names[step % names.length];
    if (name === undefined) return;
    const next = target[name];
    const isLast = depth === path.length - 1;
    if (!isLast && typeof next === "object" && next !== null) {
      target = next as Record<string, unknown>;
      continue;
    }
    if (isRemoval) Reflect.deleteProperty(target, name);
    else target[name] = value;
    return;
  }
}
