import { type Either, Left, Right } from "purify-ts";
import {
  type ParsedDocument,
  parseDocument,
  partKey,
} from "./_parse_document.ts";
import { checkObjects } from "./_check_objects.ts";
import type { FileProblem, SourceFile } from "./file_problem.ts";
import { KIND_WORDS, type ObjectKind, ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/** Options for {@linkcode parseObjectSet}. */
export type ParseObjectSetOptions = {
  /** Name of the file, for the problems. */
  file: string;
};

const KEYS = Object.fromEntries(
  Object.entries(KIND_WORDS).map(([kind, word]) => [word, kind]),
);

/**
 * Parses the INI text of a set, with every problem of its form. Whether its
 * objects fit together is up to {@linkcode checkObjectFiles}.
 *
 * @example
 * ```ts
 * const set = parseObjectSet("[pool quoting]\n", { file: "set.ini" });
 * ```
 */
export function parseObjectSet(
  text: string,
  { file }: ParseObjectSetOptions,
): Either<FileProblem[], ObjectSet> {
  return toEither(parseFiles([{ file, text }]), { files: [], found: [] });
}

/**
 * Parses files that form one set together and checks the whole set. All
 * problems are returned at once, in the order of files and lines.
 *
 * @example
 * ```ts
 * const set = checkObjectFiles([{ file: "set.ini", text }]);
 * ```
 */
export function checkObjectFiles(
  files: SourceFile[],
): Either<FileProblem[], ObjectSet> {
  const document = parseFiles(files);
  const problems = checkObjects(document.value as ObjectSet, {
    invalid: document.invalid.map(({ key, name }) => ({
      kind: key as ObjectKind,
      name: name ?? "",
    })),
  });
  const found = problems.map((problem) => locate(problem, document));
  return toEither(document, { files, found });
}

function parseFiles(files: SourceFile[]) {
  return parseDocument(files, { schema: ObjectSet, keys: KEYS });
}

function toEither(
  document: ParsedDocument,
  { files, found }: { files: SourceFile[]; found: FileProblem[] },
): Either<FileProblem[], ObjectSet> {
  const order = files.map(({ file }) => file);
  const problems = [...document.problems, ...found].sort((a, b) =>
    order.indexOf(a.file) - order.indexOf(b.file) || a.line - b.line
  );
  return problems.length > 0
    ? Left(problems)
    : Right(document.value as ObjectSet);
}

function locate(problem: Problem, document: ParsedDocument): FileProblem {
  const { kind, name, field, message } = problem;
  const section = document.sections.get(partKey(kind, name));
  return {
    file: section?.file ?? "",
    line: section?.fields.get(field ?? "")?.line ?? section?.line ?? 1,
    object: `${KIND_WORDS[kind]} ${name}`,
    ...(field !== undefined && { field }),
    message,
  };
}
