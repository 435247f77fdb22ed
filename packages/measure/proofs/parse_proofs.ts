/**
 * Parses `docs/proofs.md`, which lists the test for each guarantee and fault.
 *
 * @module
 */

/** Test that the page names as a proof. */
export type Proof = {
  /** Key by which the cells of the table refer to the test. */
  key: string;
  file: string;
  title: string;
  /** Rows of `test.each` that are meant; empty if all are. */
  rows: string[];
};

/** Table and tests of the page. */
export type ProofsPage = {
  columns: string[];
  rows: { name: string; cells: string[] }[];
  proofs: Proof[];
};

/** Matches a cell that states why its fault cannot happen. */
export const IMPOSSIBLE_CELL = /^cannot happen, because \S.+$/;

/** Text of a cell for which no test exists. */
export const NOT_PROVED_CELL = "not proved";

const KEY_LINE = /^- `([^`]+)`: `([^`]+)`, `([^`]+)`(?:, rows? (.+))?$/;

/**
 * Parses the table and the list of tests of the page.
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
 * Returns the keys of the tests that a cell names.
 *
 * @example
 * ```ts
 * parseKeys("F1, F2"); // ["F1", "F2"]
 * ```
 */
export function parseKeys(cell: string): string[] {
  if (cell === NOT_PROVED_CELL || IMPOSSIBLE_CELL.test(cell)) return [];
  return cell.split(",").map((key) => key.trim());
}
