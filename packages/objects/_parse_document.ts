import { z } from "zod";
import { describeIssue } from "./_describe_issue.ts";
import { convertFieldValue, unwrapSchema } from "./_field_value.ts";
import { type IniSection, readIniSections } from "./_ini_sections.ts";
import { repairObject } from "./_repair_object.ts";
import type { FileProblem, SourceFile } from "./file_problem.ts";
import { MAX_NAME_LENGTH, Name } from "./name.ts";

/** Options for {@linkcode parseDocument}. */
export type ParseDocumentOptions = {
  schema: z.ZodObject;
  /** Key of the schema by the first word of a section's title. */
  keys: Record<string, string>;
};

/** Part of a document: a section without a name has the name `undefined`. */
export type DocumentPart = { key: string; name: string | undefined };

/** Parsed document with the places of its sections. */
export type ParsedDocument = {
  /** Value with stand-ins for wrong fields and without invalid parts. */
  value: unknown;
  problems: FileProblem[];
  /** Parts that are left out, since they have no use without a field. */
  invalid: DocumentPart[];
  sections: Map<string, IniSection>;
};

/** Returns the key of a part in {@linkcode ParsedDocument.sections}. */
export function partKey(key: string, name: string | undefined) {
  return name === undefined ? key : `${key} ${name}`;
}

/** Parses INI files that form one document by the schema of its sections. */
export function parseDocument(
  files: SourceFile[],
  options: ParseDocumentOptions,
): ParsedDocument {
  const { sections, problems } = readIniSections(files);
  const document = collectSections(sections, options);
  problems.push(...document.problems);
  let raw = document.raw;
  const invalid: DocumentPart[] = [];
  let result = options.schema.safeParse(raw);
  if (!result.success) {
    const context = { ...document, files, schema: options.schema };
    problems.push(
      ...result.error.issues.flatMap((issue) => locateIssue(issue, context)),
    );
    raw = repairInvalid(raw, result.error.issues);
    result = options.schema.safeParse(raw);
  }
  if (!result.success) {
    raw = removeInvalid(raw, result.error.issues, invalid);
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

type Raw = Record<string, Record<string, unknown>>;

/** Returns the schema of the sections of a key, and whether they have names. */
function sectionSchema(schema: z.ZodObject, key: string) {
  const part = unwrapSchema(schema.shape[key]);
  return part instanceof z.ZodRecord
    ? { isNamed: true, fields: unwrapSchema(part.valueType) as z.ZodObject }
    : { isNamed: false, fields: part as z.ZodObject };
}

/** Sections of a document by part, and their converted values. */
type Collected = { raw: Raw; sections: Map<string, IniSection> };

function collectSections(found: IniSection[], options: ParseDocumentOptions) {
  const collected: Collected = { raw: {}, sections: new Map() };
  for (const [key, part] of Object.entries(options.schema.shape)) {
    if (!(part instanceof z.ZodOptional)) collected.raw[key] = {};
  }
  const problems = found.flatMap((section): FileProblem[] => {
    const message = addSection(section, collected, options);
    const { file, line, title: object } = section;
    return message === undefined ? [] : [{ file, line, object, message }];
  });
  return { ...collected, problems };
}

/** Adds a section to the document, or returns why it has no place there. */
function addSection(
  section: IniSection,
  { raw, sections }: Collected,
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
  const first = sections.get(partKey(key, name));
  if (first !== undefined) {
    return `expected the section once, found it at ${first.file}:${first.line}`;
  }
  sections.set(partKey(key, name), section);
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

/** Turns an issue of the schema into problems with their lines. */
function locateIssue(
  issue: z.core.$ZodIssue,
  context: IssueContext,
): FileProblem[] {
  const path = issue.path.map(String);
  const key = path[0] ?? "";
  const { isNamed, fields } = sectionSchema(context.schema, key);
  const name = isNamed ? path[1] : undefined;
  const section = context.sections.get(partKey(key, name));
  const place = (field = "") => ({
    file: section?.file ?? context.files[0]?.file ?? "",
    line: section?.fields.get(field)?.line ?? section?.line ?? 1,
    object: section?.title ?? partKey(key, name),
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

/** Puts stand-ins in the place of the fields that have issues. */
function repairInvalid(raw: Raw, issues: z.core.$ZodIssue[]) {
  const wrong = new Map<string, Set<string>>();
  for (const issue of issues) {
    const [key, name, field] = issue.path.map(String);
    const part = `${key} ${name}`;
    const fields = wrong.get(part) ?? new Set();
    wrong.set(part, fields);
    if (issue.code === "unrecognized_keys") {
      for (const other of issue.keys) fields.add(other);
    } else if (field !== undefined) fields.add(field);
  }
  const rest: Raw = { ...raw };
  let serial = 1;
  for (const [part, fields] of wrong) {
    const [key = "", name = ""] = part.split(" ");
    const object = rest[key]?.[name];
    if (typeof object !== "object" || object === null) continue;
    const values = { ...object } as Record<string, unknown>;
    const repaired = repairObject(values, fields, { serial: serial++ });
    rest[key] = { ...rest[key], [name]: repaired };
  }
  return rest;
}

/** Returns the document without the parts that have issues. */
function removeInvalid(
  raw: Raw,
  issues: z.core.$ZodIssue[],
  invalid: DocumentPart[],
) {
  const rest: Raw = { ...raw };
  for (const { path } of issues) {
    const key = String(path[0]);
    if (path.length < 2 || rest[key] === undefined) continue;
    const name = String(path[1]);
    if (!Object.hasOwn(rest[key], name)) continue;
    invalid.push({ key, name });
    rest[key] = Object.fromEntries(
      Object.entries(rest[key]).filter(([other]) => other !== name),
    );
  }
  return rest;
}
