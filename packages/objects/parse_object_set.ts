/**
 * Parsing of object sets from INI files.
 *
 * @module
 */

import { type Either, Left, Right } from "purify-ts";
import {
  type ParsedDocument,
  parseDocument,
  sectionKey,
} from "./_parse_document.ts";
import { checkObjects } from "./_check_objects.ts";
import type { FileProblem, SourceFile } from "./file_problem.ts";
import { KIND_WORDS, type ObjectKind, ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/** Options for {@linkcode parseObjectSet}. */
export type ParseObjectSetOptions = {
  /** Name of the file, for messages. */
  file: string;
};

/** Kind of object by the first word of a section's title. */
const KINDS_BY_WORD = Object.fromEntries(
  Object.entries(KIND_WORDS).map(([kind, word]) => [word, kind]),
);

/**
 * Parses the INI text of a set. Returns all problems of single objects; only
 * {@linkcode checkObjectFiles} checks that the objects are consistent.
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
  return toEither(parseFiles([{ file, text }]), { files: [], others: [] });
}

/**
 * Parses files that form one set and checks the whole set. Returns all problems
 * at once, in the order of files and lines.
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
  const others = problems.map((problem) => locate(problem, document));
  return toEither(document, { files, others });
}

function parseFiles(files: SourceFile[]) {
  return parseDocument(files, { schema: ObjectSet, keys: KINDS_BY_WORD });
}

/** Returns the value of a document unless there are problems. */
function toEither(
  document: ParsedDocument,
  { files, others }: { files: SourceFile[]; others: FileProblem[] },
): Either<FileProblem[], ObjectSet> {
  const fileNames = files.map(({ file }) => file);
  const problems = [...document.problems, ...others].sort((a, b) =>
    fileNames.indexOf(a.file) - fileNames.indexOf(b.file) || a.line - b.line
  );
  return problems.length > 0
    ? Left(problems)
    : Right(document.value as ObjectSet);
}

/** Adds the file and line of its section to a problem. */
function locate(problem: Problem, document: ParsedDocument): FileProblem {
  const { kind, name, field, message } = problem;
  const section = document.sections.get(sectionKey(kind, name));
  return {
    file: section?.file ?? "",
    line: section?.fields.get(field ?? "")?.line ?? section?.line ?? 1,
    object: `${KIND_WORDS[kind]} ${name}`,
    ...(field !== undefined && { field }),
    message,
  };
}
