import { describeChange, diffObjectSets } from "@lagoonloom/objects";
import {
  newestResult,
  queryDaemons,
  reportNoResult,
} from "./_query_daemons.ts";
import { readSet } from "./_read_set.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/**
 * Prints what publishing the files would change in the object set in force.
 *
 * @example
 * ```ts
 * const exitCode = await diffCommand(["set.ini"], context);
 * ```
 */
export async function diffCommand(
  paths: string[],
  context: RemoteContext,
): Promise<ExitCode> {
  const read = await readSet(paths, context);
  if (read.type === "failed") return read.exitCode;
  const results = await queryDaemons(context.clients, (c) => c.currentSet());
  const newest = newestResult(results, ({ version }) => version);
  if (newest === undefined) return reportNoResult(results, context);
  const { version, set } = newest.value;
  const change = diffObjectSets(set, read.set);
  const lines = describeChange(change, set);
  if (context.isJson) {
    context.print(JSON.stringify({ version, change, lines }));
    return EXIT_CODE.ok;
  }
  for (const line of lines) context.print(line);
  context.print(`${lines.length} difference(s) to version ${version}.`);
  return EXIT_CODE.ok;
}
