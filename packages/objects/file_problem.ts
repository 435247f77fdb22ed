/** One problem of a file of named objects or settings. */
export type FileProblem = {
  file: string;
  /** Line that is wrong, counted from 1. */
  line: number;
  /** Title of the section, such as `host kigali-1`; empty outside of one. */
  object: string;
  /** Field that is wrong; absent when the whole section is. */
  field?: string;
  /** What was expected and what was found, in one sentence. */
  message: string;
};

/** File of a set or of settings, as read. */
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
