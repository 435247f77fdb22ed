import type {
  OperatorClient,
  OperatorClientError,
  OperatorResult,
} from "@lagoonloom/operators";
import { describeClientError } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Answer of one daemon to a question that all are asked. */
export type Answer<Value> = {
  client: OperatorClient;
  value: Value | undefined;
  error: OperatorClientError | undefined;
};

/** Asks all daemons at once, so that one that hangs delays nothing else. */
export async function askDaemons<Value>(
  clients: OperatorClient[],
  ask: (client: OperatorClient) => OperatorResult<Value>,
): Promise<Answer<Value>[]> {
  return await Promise.all(clients.map(async (client) => {
    const result = await ask(client);
    return result.caseOf<Answer<Value>>({
      Left: (error) => ({ client, value: undefined, error }),
      Right: (value) => ({ client, value, error: undefined }),
    });
  }));
}

/** Returns the value with the highest rank, if any daemon answered. */
export function newestAnswer<Value>(
  answers: Answer<Value>[],
  rank: (value: Value) => number,
) {
  let newest: { client: OperatorClient; value: Value } | undefined;
  for (const { client, value } of answers) {
    if (value === undefined) continue;
    if (newest !== undefined && rank(value) <= rank(newest.value)) continue;
    newest = { client, value };
  }
  return newest;
}

/** Reports that no daemon gave a result. */
export function reportNoAnswer(
  answers: Answer<unknown>[],
  context: RemoteContext,
): ExitCode {
  const errors = answers.flatMap(({ client, error }) =>
    error === undefined ? [] : [{ address: client.address, error }]
  );
  const isRefused = errors.length > 0 &&
    errors.every(({ error }) => isRefusal(error));
  if (context.isJson) {
    const type = isRefused ? "refused" : "unknown";
    const daemons = errors.map(({ address, error }) => ({
      address,
      message: describeClientError(error),
    }));
    context.print(JSON.stringify({ type, daemons }));
  } else {
    for (const { address, error } of errors) {
      context.printError(`${address}: ${describeClientError(error)}`);
    }
  }
  return isRefused ? EXIT_CODE.refused : EXIT_CODE.unknown;
}

/** Whether the daemon refused the request without carrying it out. */
export function isRefusal(error: OperatorClientError) {
  return error.type === "refused" && error.refusal.status < 500;
}
