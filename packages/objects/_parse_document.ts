/**
 * Parsing of INI files by a schema, with all problems and their lines.
 *
 * @module
 */

import { z } from "zod";
import { describeIssue } from "./_describe_issue.ts";
import { convertFieldValue, unwrapSchema } from "./_field_value.ts";
import { type IniSection, readIniSections } from "./_ini_sections.ts";
import { replaceInvalidFields } from "./_replace_invalid_fields.ts";
import type { FileProblem, SourceFile } from "./file_problem.ts";
import { MAX_NAME_LENGTH, Name } from "./name.ts";

/** Options for {@linkcode parseDocument}. */
export type ParseDocumentOptions = {
  schema: z.ZodObject;
  /** Key of the schema by the first word of a section's title. */
  keys: Record<string, string>;
};

/** Identifies a section; a section without a name has the name `undefined`. */
export type SectionId = { key: string; name: string | undefined };

/** Parsed document, with its problems and the lines of its sections. */
export type ParsedDocument = {
  /** Value with placeholders for invalid fields, without invalid objects. */
  value: unknown;
  problems: FileProblem[];
  /** Objects left out, since an invalid field of theirs has no placeholder. */
  invalid: SectionId[];
  sections: Map<string, IniSection>;
};

/** Returns the key of a section in {@linkcode ParsedDocument.sections}. */
export function sectionKey(key: string, name: string | undefined) {
  return name === undefined ? key : `${key} ${name}`;
}

/**
 * Parses INI files that form one document. Fields with problems are replaced by
 * placeholders, so that the rest of the document can still be checked.
 */
export function parseDocument(
  files: SourceFile[],
  options: ParseDocumentOptions,
): ParsedDocument {
  const { sections, problems } = readIniSections(files);
  const document = collectSections(sections, options);
  problems.push(...document.problems);
  let raw = document.raw;
  const invalid: SectionId[] = [];
  let result = options.schema.safeParse(raw);
  if (!result.success) {
    const context = { ...document, files, schema: options.schema };
    problems.push(
      ...result.error.issues.flatMap((issue) => locateIssue(issue, context)),
    );
    raw = replaceAllInvalidFields(raw, result.error.issues);
    result = options.schema.safeParse(raw);
  }
  if (!result.success) {
    raw = removeInvalidObjects(raw, result.error.issues, invalid);
    result = options.schema.safeParse(raw);
  }
  problems.sort((a, b) =>
    files.findIndex(({ file }) => file === a.file) -
      files.findIndex(({ file }) => file === b.file) || a.line - b.line
  );
  return {
    value: result.data,
    problems,
    invalid,
    sections: document.sections,
  };
}

type RawDocument = Record<string, Record<string, unknown>>;

/** Returns the schema of the sections of a key, and whether they have names. */
function sectionSchema(schema: z.ZodObject, key: string) {
  const inner = unwrapSchema(schema.shape[key]);
  return inner instanceof z.ZodRecord
    ? { isNamed: true, fields: unwrapSchema(inner.valueType) as z.ZodObject }
    : { isNamed: false, fields: inner as z.ZodObject };
}

/** Converted values of a document, and its sections by key. */
type CollectedSections = {
  raw: RawDocument;
  sections: Map<string, IniSection>;
};

function collectSections(found: IniSection[], options: ParseDocumentOptions) {
  const collected: CollectedSections = { raw: {}, sections: new Map() };
  for (const [key, schema] of Object.entries(options.schema.shape)) {
    if (!(schema instanceof z.ZodOptional)) collected.raw[key] = {};
  }
  const problems = found.flatMap((section): FileProblem[] => {
    const message = addSection(section, collected, options);
    const { file, line, title: object } = section;
    return message === undefined ? [] : [{ file, line, object, message }];
  });
  return { ...collected, problems };
}

/** Adds a section to the document, or returns why it is not allowed. */
function addSection(
  section: IniSection,
  { raw, sections }: CollectedSections,
  { schema, keys }: ParseDocumentOptions,
): string | undefined {
  const [word = "", ...names] = section.title.split(" ");
  if (!Object.hasOwn(keys, word)) {
    return `expected a section of ${Object.keys(keys).join(", ")}`;
  }
  const key = keys[word]!;
  const { isNamed, fields } = sectionSchema(schema, key);
  const name = isNamed ? names.join(" ") : undefined;
  if (isNamed && !Name.safeParse(name).success) {
    return `expected [${word} NAME] with a name of up to ${MAX_NAME_LENGTH} ` +
      "lower-case letters, digits and hyphens";
  }
  if (!isNamed && names.length > 0) return `expected [${word}] without a name`;
  const first = sections.get(sectionKey(key, name));
  if (first !== undefined) {
    return `expected the section once, found it at ${first.file}:${first.line}`;
  }
  sections.set(sectionKey(key, name), section);
  const values = Object.fromEntries(
    [...section.fields].map(([field, { value }]) => [
      field,
      convertFieldValue(value, fields.shape[field]),
    ]),
  );
  if (name === undefined) raw[key] = values;
  else (raw[key] ??= {})[name] = values;
  return undefined;
}

type IssueContext = {
  sections: Map<string, IniSection>;
  files: SourceFile[];
  schema: z.ZodObject;
};

/** Converts an issue that the schema found into problems with their lines. */
function locateIssue(
  issue: z.core.$ZodIssue,
  context: IssueContext,
): FileProblem[] {
  const path = issue.path.map(String);
  const key = path[0] ?? "";
  const { isNamed, fields } = sectionSchema(context.schema, key);
  const name = isNamed ? path[1] : undefined;
  const section = context.sections.get(sectionKey(key, name));
  const place = (field = "") => ({
    file: section?.file ?? context.files[0]?.file ?? "",
    line: section?.fields.get(field)?.line ?? section?.line ?? 1,
    object: section?.title ?? sectionKey(key, name),
  });
  if (issue.code === "unrecognized_keys") {
    const message = `expected one of ${Object.keys(fields.shape).join(", ")}`;
    return issue.keys.map((field) => ({ ...place(field), field, message }));
  }
  const field = path[isNamed ? 2 : 1];
  if (field === undefined) return [{ ...place(), message: issue.message }];
  const schema = fields.shape[field];
  const value = section?.fields.get(field)?.value;
  const message = describeIssue(issue, { name: field, schema, value });
  return [{ ...place(field), field, message }];
}

/** Replaces all fields that have issues by placeholders. */
function replaceAllInvalidFields(raw: RawDocument, issues: z.core.$ZodIssue[]) {
  const invalidFields = new Map<string, Set<string>>();
  for (const issue of issues) {
    const [key, name, field] = issue.path.map(String);
    const id = `${key} ${name}`;
    const fields = invalidFields.get(id) ?? new Set();
    invalidFields.set(id, fields);
    if (issue.code === "unrecognized_keys") {
      for (const other of issue.keys) fields.add(other);
    } else if (field !== undefined) fields.add(field);
  }
  const document: RawDocument = { ...raw };
  let serial = 1;
  for (const [id, fields] of invalidFields) {
    const [key = "", name = ""] = id.split(" ");
    const object = document[key]?.[name];
    if (typeof object !== "object" || object === null) continue;
    const values = { ...object } as Record<string, unknown>;
    const repaired = replaceInvalidFields(values, fields, { serial: serial++ });
    document[key] = { ...document[key], [name]: repaired };
  }
  return document;
}

/** Returns the document without the objects that have issues. */
function removeInvalidObjects(
  raw: RawDocument,
  issues: z.core.$ZodIssue[],
  invalid: SectionId[],
) {
  const document: RawDocument = { ...raw };
  for (const { path } of issues) {
    const key = String(path[0]);
    if (path.length < 2 || document[key] === undefined) continue;
    const name = String(path[1]);
    if (!Object.hasOwn(document[key], name)) continue;
    invalid.push({ key, name });
    document[key] = Object.fromEntries(
      Object.entries(document[key]).filter(([other]) => other !== name),
    );
  }
  return document;
}
