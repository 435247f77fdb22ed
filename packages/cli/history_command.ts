/**
 * Command that lists publications.
 *
 * @module
 */

import {
  newestResult,
  queryDaemons,
  reportNoResult,
} from "./_query_daemons.ts";
import { formatTable, formatTime } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Options of the command `history`. */
export type HistoryRequest = {
  /** Largest number of publications to print. */
  limit: number;
};

/**
 * Prints the newest publications that took effect, newest first.
 *
 * @example
 * ```ts
 * const exitCode = await historyCommand({ limit: 20 }, context);
 * ```
 */
export async function historyCommand(
  { limit }: HistoryRequest,
  context: RemoteContext,
): Promise<ExitCode> {
  const results = await queryDaemons(context.clients, (c) => c.history(limit));
  const newest = newestResult(results, (entries) => entries[0]?.version ?? 0);
  if (newest === undefined) return reportNoResult(results, context);
  if (context.isJson) {
    context.print(JSON.stringify({ history: newest.value }));
    return EXIT_CODE.ok;
  }
  const rows = newest.value.map((entry) => [
    String(entry.version),
    formatTime(entry.timeMs),
    entry.operator,
    entry.publicationId,
    `${entry.put.length} put, ${entry.removed.length} removed`,
  ]);
  const heading = ["VERSION", "TIME", "OPERATOR", "PUBLICATION", "CHANGE"];
  for (const line of formatTable([heading, ...rows])) context.print(line);
  return EXIT_CODE.ok;
}
