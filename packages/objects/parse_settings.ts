/**
 * Parsing of settings files.
 *
 * @module
 */

import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import { parseDocument } from "./_parse_document.ts";
import type { FileProblem } from "./file_problem.ts";

/** Options for {@linkcode parseSettings}. */
export type ParseSettingsOptions = {
  /** Name of the file, for messages. */
  file: string;
};

/**
 * Parses the INI text of a settings file. Each key of the schema is the section
 * `[KEY]` or, if its schema is a record, sections `[KEY NAME]`. Items of lists
 * are separated by commas. Problems never contain the values of secret fields.
 *
 * @example
 * ```ts
 * const Settings = z.strictObject({
 *   operator: z.strictObject({ name: Name, key: z.string().min(16) }),
 * });
 * const settings = parseSettings(text, Settings, { file: "cli.ini" });
 * ```
 */
export function parseSettings<Schema extends z.ZodObject>(
  text: string,
  schema: Schema,
  { file }: ParseSettingsOptions,
): Either<FileProblem[], z.infer<Schema>> {
  const words = Object.keys(schema.shape);
  const keys = Object.fromEntries(words.map((word) => [word, word]));
  const document = parseDocument([{ file, text }], { schema, keys });
  return document.problems.length > 0
    ? Left(document.problems)
    : Right(document.value as z.infer<Schema>);
}
