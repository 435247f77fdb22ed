/**
 * Command that explains the state of an object.
 *
 * @module
 */

import { ExplainedKind } from "@lagoonloom/operators";
import {
  type DaemonResult,
  queryDaemons,
  reportNoResult,
} from "./_query_daemons.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Object whose decisions are explained. */
export type ExplainRequest = { kind: string; name: string };

/**
 * Prints the state of an object, what it waits for and what would change that.
 * JSON output includes the values on which the sentences are based.
 *
 * @example
 * ```ts
 * const exitCode = await explainCommand({ kind: "host", name: "h1" }, context);
 * ```
 */
export async function explainCommand(
  request: ExplainRequest,
  context: RemoteContext,
): Promise<ExitCode> {
  const kind = ExplainedKind.safeParse(request.kind);
  if (!kind.success) {
    const kinds = ExplainedKind.options.join(", ");
    context.printError(`Expected one of the kinds ${kinds}.`);
    return EXIT_CODE.usage;
  }
  const results = await queryDaemons(
    context.clients,
    (client) => client.explain(kind.data, request.name),
  );
  const found = results.find(({ value }) => value !== undefined)?.value;
  if (found === undefined) return reportNoExplanation(results, context);
  if (context.isJson) {
    context.print(JSON.stringify(found));
    return EXIT_CODE.ok;
  }
  context.print(`${found.kind} ${found.name}`);
  for (const sentence of found.sentences) context.print(`  ${sentence}`);
  return EXIT_CODE.ok;
}

/**
 * Prints why there is no explanation. If a daemon reported that the object does
 * not exist, errors of the other daemons are left out.
 */
function reportNoExplanation(
  results: DaemonResult<unknown>[],
  context: RemoteContext,
): ExitCode {
  const notFound = results.filter(({ error }) =>
    error?.type === "refused" && error.refusal.status === 404
  );
  const reported = notFound.length > 0 ? notFound : results;
  return reportNoResult(reported, context);
}
