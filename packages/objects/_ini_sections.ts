/**
 * Splitting of INI files into sections with line numbers.
 *
 * @module
 */

import { parse } from "ini";
import type { FileProblem, SourceFile } from "./file_problem.ts";

/** Section of an INI file. */
export type IniSection = {
  file: string;
  line: number;
  title: string;
  /** Values of the fields with their lines, by name. */
  fields: Map<string, { line: number; value: unknown }>;
};

const HEADER = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const FIELD = /^\s*([^=]*?)\s*=/;
const FIELD_NAME = /^[a-z][a-z0-9_]*$/;
const IGNORED = /^\s*([;#].*)?$/;

/**
 * Splits files into sections. The package `ini` reports no line numbers, so
 * lines are found here, and the package parses the values of one section at a
 * time.
 */
export function readIniSections(files: SourceFile[]) {
  const sections: IniSection[] = [];
  const problems: FileProblem[] = [];
  for (const { file, text } of files) {
    let section: IniSection | undefined;
    let body: string[] = [];
    const finishSection = () => {
      if (section !== undefined) readValues(section, body, problems);
      body = [];
    };
    text.replace(/^\uFEFF/, "").split(/\r\n|\r|\n/).forEach((content, i) => {
      const line = i + 1;
      if (IGNORED.test(content)) return;
      const header = HEADER.exec(content);
      if (header !== null) {
        finishSection();
        const title = header[1]!.trim().replace(/\s+/g, " ");
        section = { file, line, title, fields: new Map() };
        sections.push(section);
        return;
      }
      const field = checkField(content, section);
      if (typeof field === "string") {
        const object = section?.title ?? "";
        problems.push({ file, line, object, message: field });
        return;
      }
      section!.fields.set(field.name, { line, value: undefined });
      body.push(content);
    });
    finishSection();
  }
  return { sections, problems };
}

/** Returns the name of the field on a line, or what is wrong with the line. */
function checkField(content: string, section: IniSection | undefined) {
  const name = FIELD.exec(content)?.[1];
  if (section === undefined) {
    return "expected a section such as [pool NAME] before the first field";
  }
  if (name === undefined) return "expected a section or FIELD = VALUE";
  if (!FIELD_NAME.test(name)) {
    return "expected a field name of lower-case letters, digits and _";
  }
  const first = section.fields.get(name);
  if (first !== undefined) {
    return `expected the field ${name} once, found it at line ${first.line} too`;
  }
  return { name };
}

/** Parses the lines of a section with the package `ini` and sets its values. */
function readValues(
  section: IniSection,
  body: string[],
  problems: FileProblem[],
) {
  const values: Record<string, unknown> = parse(body.join("\n"));
  for (const [name, field] of section.fields) {
    if (Object.hasOwn(values, name)) {
      field.value = values[name];
      continue;
    }
    problems.push({
      file: section.file,
      line: field.line,
      object: section.title,
      field: name,
      message: "expected a value without control characters",
    });
  }
}
