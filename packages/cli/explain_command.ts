import { ExplainedKind } from "@lagoonloom/operators";
import { type Answer, askDaemons, reportNoAnswer } from "./_ask_daemons.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Object whose decisions are explained. */
export type ExplainRequest = { kind: string; name: string };

/**
 * Prints where an object is, what it waits for and what would change that, in
 * sentences; as JSON with the facts behind them.
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
  if (found === undefined) return reportNoExplanation(answers, context);
  if (context.isJson) {
    context.print(JSON.stringify(found));
    return EXIT_CODE.ok;
  }
  context.print(`${found.kind} ${found.name}`);
  for (const sentence of found.sentences) context.print(`  ${sentence}`);
  return EXIT_CODE.ok;
}

/**
 * Reports that no daemon has the object. It is refused if at least one daemon
 * answered so, whether or not the others could be reached.
 */
function reportNoExplanation(
  answers: Answer<unknown>[],
  context: RemoteContext,
): ExitCode {
  const refused = answers.filter(({ error }) =>
    error?.type === "refused" && error.refusal.status === 404
  );
  const known = refused.length > 0 ? refused : answers;
  return reportNoAnswer(known, context);
}
