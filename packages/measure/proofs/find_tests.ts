/**
 * Finds the tests that a source file declares, from its syntax tree.
 *
 * @module
 */

import ts from "typescript";

/** Test that a source file declares. */
export type DeclaredTest = {
  /** Title as written, with the placeholders of `test.each`. */
  title: string;
  /** Whether the test or a `describe` around it is skipped. */
  isSkipped: boolean;
};

/** Tests and string literals of a source file. */
export type DeclaredTests = {
  tests: DeclaredTest[];
  /** Whether a test is marked `only`, so that the others do not run. */
  hasOnly: boolean;
  /** All string literals and property names, which include `test.each` rows. */
  texts: ReadonlySet<string>;
};

const TEST_FUNCTIONS = new Set(["test", "it", "xtest", "xit", "fit"]);
const SUITE_FUNCTIONS = new Set(["describe", "xdescribe", "fdescribe"]);
const SKIPPING_NAMES = new Set(["xtest", "xit", "xdescribe", "skip", "todo"]);
const ONLY_NAMES = new Set(["fit", "fdescribe", "only"]);

/**
 * Lists the tests that a source text declares.
 *
 * @example
 * ```ts
 * const { tests } = findTests('test("adds", () => undefined);');
 * ```
 */
export function findTests(source: string): DeclaredTests {
  const file = ts.createSourceFile("test.ts", source, ts.ScriptTarget.ES2022);
  const tests: DeclaredTest[] = [];
  const texts = new Set<string>();
  let hasOnly = false;
  function visit(node: ts.Node, isInSkippedSuite: boolean): void {
    if (ts.isStringLiteralLike(node)) texts.add(node.text);
    if (ts.isPropertyAssignment(node) && ts.isIdentifier(node.name)) {
      texts.add(node.name.text);
    }
    let isSkipped = isInSkippedSuite;
    if (ts.isCallExpression(node)) {
      const names = listNames(node.expression);
      const isTest = TEST_FUNCTIONS.has(names[0] ?? "");
      if (isTest || SUITE_FUNCTIONS.has(names[0] ?? "")) {
        isSkipped ||= names.some((name) => SKIPPING_NAMES.has(name));
        hasOnly ||= names.some((name) => ONLY_NAMES.has(name));
        const title = node.arguments[0];
        if (isTest && title !== undefined && ts.isStringLiteralLike(title)) {
          tests.push({ title: title.text, isSkipped });
        }
      }
    }
    ts.forEachChild(node, (child) => visit(child, isSkipped));
  }
  visit(file, false);
  return { tests, hasOnly, texts };
}

/** Returns `["test", "skip", "each"]` for `test.skip.each(rows)`. */
function listNames(node: ts.Expression): string[] {
  if (ts.isIdentifier(node)) return [node.text];
  if (ts.isCallExpression(node)) return listNames(node.expression);
  if (ts.isTaggedTemplateExpression(node)) return listNames(node.tag);
  if (ts.isPropertyAccessExpression(node)) {
    return [...listNames(node.expression), node.name.text];
  }
  return [];
}
