import {
  checkObjectFiles,
  describeProblem,
  type FileProblem,
  type ObjectSet,
  type SourceFile,
} from "@lagoonloom/objects";
import { paint } from "./_output.ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Set that was read, or the exit code after its problems were reported. */
export type ReadSet =
  | { type: "valid"; set: ObjectSet }
  | { type: "failed"; exitCode: ExitCode };

/** Reads and checks the files of a set and reports all problems. */
export async function readSet(
  paths: string[],
  context: CommandContext,
): Promise<ReadSet> {
  const files: SourceFile[] = [];
  const unread: string[] = [];
  for (const path of paths) {
    try {
      files.push({ file: path, text: await context.readFile(path) });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      unread.push(`${path}: cannot be read: ${detail}`);
    }
  }
  if (unread.length > 0) {
    for (const line of unread) context.printError(line);
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
    context.print(paint(describeProblem(problem), "red", context));
  }
  context.print(`${problems.length} problem(s) found.`);
}
