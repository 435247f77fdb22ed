import ts from "typescript";

/** Test that a source file declares. */
export type DeclaredTest = {
  /** Title as it is written, with the placeholders of `test.each`. */
  title: string;
  /** Whether it, or a `describe` around it, is left out of a run. */
  isSkipped: boolean;
};

/** What a test file declares. */
export type DeclaredTests = {
  tests: DeclaredTest[];
  /** Whether a test is marked `only`, which leaves out all the others. */
  hasOnly: boolean;
  /** Every text of the file, among them the rows of `test.each`. */
  texts: ReadonlySet<string>;
};

const TESTS = new Set(["test", "it", "xtest", "xit", "fit"]);
const SUITES = new Set(["describe", "xdescribe", "fdescribe"]);
const SKIPPED = new Set(["xtest", "xit", "xdescribe", "skip", "todo"]);
const ONLY = new Set(["fit", "fdescribe", "only"]);

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
  function visit(node: ts.Node, isLeftOut: boolean): void {
    if (ts.isStringLiteralLike(node)) texts.add(node.text);
    if (ts.isPropertyAssignment(node) && ts.isIdentifier(node.name)) {
      texts.add(node.name.text);
    }
    let isSkipped = isLeftOut;
    if (ts.isCallExpression(node)) {
      const names = namesOf(node.expression);
      const isTest = TESTS.has(names[0] ?? "");
      if (isTest || SUITES.has(names[0] ?? "")) {
        isSkipped ||= names.some((name) => SKIPPED.has(name));
        hasOnly ||= names.some((name) => ONLY.has(name));
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

/** Returns the names of `test.skip.each(rows)`, without the rows. */
function namesOf(node: ts.Expression): string[] {
  if (ts.isIdentifier(node)) return [node.text];
  if (ts.isCallExpression(node)) return namesOf(node.expression);
  if (ts.isTaggedTemplateExpression(node)) return namesOf(node.tag);
  if (ts.isPropertyAccessExpression(node)) {
    return [...namesOf(node.expression), node.name.text];
  }
  return [];
}
