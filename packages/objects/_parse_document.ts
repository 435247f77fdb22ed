import { z } from "zod";
import { describeIssue } from "./_describe_issue.ts";
import { convertFieldValue, unwrapSchema } from "./_field_value.ts";
import { type IniSection, readIniSections } from "./_ini_sections.ts";
import { repairObject } from "./_repair_object.ts";
import type { FileProblem, SourceFile } from "./file_problem.ts";
import { Name } from "./name.ts";

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

function collectSections(
  found: IniSection[],
  { schema, keys }: ParseDocumentOptions,
) {
  const raw: Raw = {};
  for (const [key, part] of Object.entries(schema.shape)) {
    if (!(part instanceof z.ZodOptional)) raw[key] = {};
  }
  const sections = new Map<string, IniSection>();
  const problems: FileProblem[] = [];
  for (const section of found) {
    const [word = "", ...names] = section.title.split(" ");
    const add = (message: string) =>
      problems.push({
        file: section.file,
        line: section.line,
        object: section.title,
        message,
      });
    const key = Object.hasOwn(keys, word) ? keys[word]! : undefined;
    if (key === undefined) {
      add(`expected a section of ${Object.keys(keys).join(", ")}`);
      continue;
    }
    const { isNamed, fields } = sectionSchema(schema, key);
    const name = isNamed ? names.join(" ") : undefined;
    if (isNamed && !Name.safeParse(name).success) {
      add(
        `expected [${word} NAME] with a name of up to 63 lower-case letters, ` +
          "digits and hyphens",
      );
      continue;
    }
    if (!isNamed && names.length > 0) {
      add(`expected [${word}] without a name`);
      continue;
    }
    const first = sections.get(partKey(key, name));
    if (first !== undefined) {
      add(`expected the section once, found it at ${first.file}:${first.line}`);
      continue;
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
  }
  return { raw, sections, problems };
}

type IssueContext = {
  raw: Raw;
  sections: Map<string, IniSection>;
  files: SourceFile[];
  schema: z.ZodObject;
};

/** Turns an issue of the schema into problems with their lines. */
function locateIssue(issue: z.core.$ZodIssue, context: IssueContext) {
  const path = issue.path.map(String);
  const key = path[0] ?? "";
  const { isNamed, fields } = sectionSchema(context.schema, key);
  const name = isNamed ? path[1] : undefined;
  const section = context.sections.get(partKey(key, name));
  const values = isNamed ? context.raw[key]?.[name ?? ""] : context.raw[key];
  const names = issue.code === "unrecognized_keys"
    ? issue.keys
    : [path[isNamed ? 2 : 1]];
  return names.map((field): FileProblem => {
    const file = section?.file ?? context.files[0]?.file ?? "";
    const object = section?.title ?? partKey(key, name);
    const line = section?.fields.get(field ?? "")?.line ?? section?.line ?? 1;
    if (field === undefined) {
      const message = issue.message;
      return { file, line, object, message };
    }
    const message = issue.code === "unrecognized_keys"
      ? `expected one of ${Object.keys(fields.shape).join(", ")}`
      : describeIssue(issue, {
        name: field,
        schema: fields.shape[field],
        value: (values as Record<string, unknown> | undefined)?.[field],
      });
    return { file, line, object, field, message };
  });
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
