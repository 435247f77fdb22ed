/**
 * Problems in INI files, with their lines.
 *
 * @module
 */

/** Problem in a file of an object set or of settings. */
export type FileProblem = {
  file: string;
  /** Line that is wrong, counted from 1. */
  line: number;
  /**
   * Title of the section, such as `host kigali-1`; empty outside of sections.
   */
  object: string;
  /** Invalid field; absent if the whole section is invalid. */
  field?: string;
  /** What was expected and what was found, in one sentence. */
  message: string;
};

/** Name and text of a file of an object set or of settings. */
export type SourceFile = { file: string; text: string };

/**
 * Formats a problem for people, on one line.
 *
 * @example
 * ```ts
 * const line = describeProblem(problem);
 * // set.ini:7: [host h1] memory_gb: expected a number in gigabytes
 * ```
 */
export function describeProblem(problem: FileProblem): string {
  const { file, line, object, field, message } = problem;
  const section = object === "" ? "" : ` [${object}]`;
  const name = field === undefined ? "" : ` ${field}`;
  const place = section + name;
  return `${file}:${line}:${place}${place === "" ? "" : ":"} ${message}`;
}
