/**
 * Reading and checking of the files of an object set.
 *
 * @module
 */

import {
  checkObjectFiles,
  describeProblem,
  type FileProblem,
  type ObjectSet,
  type SourceFile,
} from "@lagoonloom/objects";
import { colourise } from "./_output.ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Object set of the files, or the exit code after problems were printed. */
export type ReadSet =
  | { type: "valid"; set: ObjectSet }
  | { type: "failed"; exitCode: ExitCode };

/** Reads and checks the files of an object set; prints all problems. */
export async function readSet(
  paths: string[],
  context: CommandContext,
): Promise<ReadSet> {
  const files: SourceFile[] = [];
  const readErrors: string[] = [];
  for (const path of paths) {
    try {
      files.push({ file: path, text: await context.readFile(path) });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      readErrors.push(`${path}: cannot be read: ${detail}`);
    }
  }
  if (readErrors.length > 0) {
    for (const line of readErrors) context.printError(line);
    return { type: "failed", exitCode: EXIT_CODE.usage };
  }
  return checkObjectFiles(files).caseOf<ReadSet>({
    Left: (problems) => {
      reportProblems(problems, context);
      return { type: "failed", exitCode: EXIT_CODE.refused };
    },
    Right: (set) => ({ type: "valid", set }),
  });
}

function reportProblems(problems: FileProblem[], context: CommandContext) {
  if (context.isJson) {
    context.print(JSON.stringify({ type: "invalid", problems }));
    return;
  }
  for (const problem of problems) {
    context.print(colourise(describeProblem(problem), "red", context));
  }
  context.print(`${problems.length} problem(s) found.`);
}
