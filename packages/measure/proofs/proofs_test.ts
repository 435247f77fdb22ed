/**
 * Checks that `docs/proofs.md` names existing tests for all guarantees.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import { existsSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import { type DeclaredTests, findTests } from "./find_tests.ts";
import { parseKeys, parseProofs, type Proof } from "./parse_proofs.ts";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const read = (path: string) => readFileSync(join(ROOT, path), "utf8");
const page = parseProofs(read("docs/proofs.md"));

const ROWS = [
  ...["P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8"],
  ...["log", "host list", "workers", "endpoints", "callers", "operators"],
  "peers",
];
const COLUMNS = [
  "correlated failures in a wave",
  "process races",
  "declared sizes and run times far off",
  "jobs that can never run",
  "waves of cancellations",
  "workers failing everything",
  "flood of least urgent then most urgent work",
  "store down or slow",
  "answer lost after the change took effect",
  "lease lapsed while the holder is paused",
  "racing operators",
  "kill",
  "cut",
  "freeze",
  "two at once",
];

/**
 * Reads the string literals of a test file and of the modules in its folder
 * that it imports, as rows of `test.each` may be declared there.
 */
function readTexts(file: string): Set<string> {
  const source = read(file);
  const texts = new Set(findTests(source).texts);
  for (const [, name] of source.matchAll(/from "(\.\/[^"]+\.ts)"/g)) {
    const path = relative(ROOT, join(ROOT, dirname(file), name!));
    for (const text of findTests(read(path)).texts) texts.add(text);
  }
  return texts;
}

function findProblem({ file, title, rows }: Proof): string | undefined {
  if (!/^packages\/.*_test\.ts$/.test(file)) return "jest does not run it";
  if (!existsSync(join(ROOT, file))) return "no such file";
  const { tests, hasOnly }: DeclaredTests = findTests(read(file));
  const found = tests.filter((it) => it.title === title);
  if (hasOnly) return "a test is marked as the only one";
  if (found.length === 0) return "no such test";
  if (found.some((it) => it.isSkipped)) return "the test is skipped";
  if (title === "%s" && rows.length === 0) return "the row is not named";
  const texts = readTexts(file);
  return rows.find((row) => !texts.has(row));
}

function readKnownRed(): string {
  return existsSync(join(ROOT, "KNOWN-RED.txt")) ? read("KNOWN-RED.txt") : "";
}

describe("docs/proofs.md", () => {
  // Guards against naming a test that was renamed, removed or skipped.
  test.each(page.proofs.map((proof) => [proof.key, proof] as const))(
    "names a test that runs: %s",
    (_, proof) => {
      expect(findProblem(proof)).toBeUndefined();
      expect(readKnownRed()).not.toContain(proof.title);
    },
  );

  // Guards against a table without a row for a guarantee or an interface, or
  // without a column for a fault.
  test("has a cell for each row and column", () => {
    expect(page.columns).toEqual(COLUMNS);
    expect(page.rows.map(({ name }) => name)).toEqual(ROWS);
    for (const { name, cells } of page.rows) {
      expect([name, cells.length]).toEqual([name, COLUMNS.length]);
    }
  });

  // Guards against cells with unknown keys and tests that no cell names.
  test("lists the keys that the cells use", () => {
    const used = page.rows.flatMap(({ cells }) => cells.flatMap(parseKeys));
    const keys = page.proofs.map(({ key }) => key);
    expect([...new Set(used)].sort()).toEqual([...keys].sort());
  });
});

describe("findTests()", () => {
  // Guards against accepting a skipped test as a proof.
  test.each([
    ['test("a", f)', false],
    ['test.each([1])("a", f)', false],
    ['test.skip("a", f)', true],
    ['test.todo("a")', true],
    ['xtest("a", f)', true],
    ['test.skip.each([1])("a", f)', true],
    ['describe.skip("b", () => { test("a", f); })', true],
    ['xdescribe("b", () => { describe("c", () => { it("a", f); }); })', true],
  ])("%s: %s", (source, isSkipped) => {
    expect(findTests(source).tests).toEqual([{ title: "a", isSkipped }]);
  });
});
