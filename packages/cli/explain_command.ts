import { ExplainedKind } from "@lagoonloom/operators";
import { askDaemons, reportNoAnswer } from "./_ask_daemons.ts";
import { formatTime } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Object whose decisions are explained. */
export type ExplainRequest = { kind: string; name: string };

/**
 * Prints the latest decisions about an object with their reasons and the
 * alternatives that were considered.
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
  const answers = await askDaemons(
    context.clients,
    (client) => client.explain(kind.data, request.name),
  );
  const found = answers.find(({ value }) => value !== undefined)?.value;
  if (found === undefined) return reportNoAnswer(answers, context);
  if (context.isJson) {
    context.print(JSON.stringify(found));
    return EXIT_CODE.ok;
  }
  context.print(`${found.kind} ${found.name}`);
  for (const { timeMs, decision, reason, alternatives } of found.decisions) {
    const time = timeMs === undefined ? "" : `${formatTime(timeMs)}  `;
    context.print(`  ${time}${decision}: ${reason}`);
    for (const other of alternatives) context.print(`    instead of: ${other}`);
  }
  if (found.decisions.length === 0) context.print("  no decisions so far");
  return EXIT_CODE.ok;
}
