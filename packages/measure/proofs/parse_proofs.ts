/** Named test of the page of proofs. */
export type Proof = {
  key: string;
  file: string;
  title: string;
  /** Row of `test.each`, or several, if not every row is meant. */
  rows: string[];
};

/** Content of the page of proofs. */
export type ProofsPage = {
  columns: string[];
  rows: { name: string; cells: string[] }[];
  proofs: Proof[];
};

/** Cell that states why its fault cannot happen. */
export const IMPOSSIBLE = /^cannot happen, because \S.+$/;

/** Cell for which no test exists. */
export const NOT_PROVED = "not proved";

const KEY_LINE = /^- `([^`]+)`: `([^`]+)`, `([^`]+)`(?:, rows? (.+))?$/;

/**
 * Reads the table and the list of keys of the page of proofs.
 *
 * @example
 * ```ts
 * const { rows, proofs } = parseProofs(readFileSync(page, "utf8"));
 * ```
 */
export function parseProofs(text: string): ProofsPage {
  const lines = text.split("\n");
  const table = lines.filter((line) => line.startsWith("|")).map(splitRow);
  const [head = [], , ...body] = table;
  return {
    columns: head.slice(1),
    rows: body.map(([name = "", ...cells]) => ({ name, cells })),
    proofs: lines.flatMap((line) => {
      const [, key, file, title, rows = ""] = KEY_LINE.exec(line) ?? [];
      if (key === undefined || file === undefined || title === undefined) {
        return [];
      }
      const names = [...rows.matchAll(/`([^`]+)`/g)].map(([, row]) => row!);
      return [{ key, file, title, rows: names }];
    }),
  };
}

function splitRow(line: string): string[] {
  return line.split("|").slice(1, -1).map((cell) => cell.trim());
}

/**
 * Returns the keys that a cell names, or none if it names no test.
 *
 * @example
 * ```ts
 * keysOf("F1, F2"); // ["F1", "F2"]
 * ```
 */
export function keysOf(cell: string): string[] {
  if (cell === NOT_PROVED || IMPOSSIBLE.test(cell)) return [];
  return cell.split(",").map((key) => key.trim());
}
