import { OBJECT_KINDS } from "@lagoonloom/objects";
import { colourise } from "./_output.ts";
import { readSet } from "./_read_set.ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/**
 * Checks files that form one object set and prints every problem with its file
 * and line.
 *
 * @example
 * ```ts
 * const exitCode = await checkCommand(["set.ini"], context);
 * ```
 */
export async function checkCommand(
  paths: string[],
  context: CommandContext,
): Promise<ExitCode> {
  const read = await readSet(paths, context);
  if (read.type === "failed") return read.exitCode;
  const counts = OBJECT_KINDS.map((kind): [string, number] => [
    kind,
    Object.keys(read.set[kind]).length,
  ]);
  if (context.isJson) {
    const objects = Object.fromEntries(counts);
    context.print(JSON.stringify({ type: "valid", objects }));
  } else {
    const text = counts.map(([kind, count]) => `${count} ${kind}`).join(", ");
    context.print(colourise(`The set is valid: ${text}.`, "green", context));
  }
  return EXIT_CODE.ok;
}
