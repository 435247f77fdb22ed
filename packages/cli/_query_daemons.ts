/**
 * Requests that are sent to all daemons at the same time.
 *
 * @module
 */

import type {
  OperatorClient,
  OperatorClientError,
  OperatorResult,
} from "@lagoonloom/operators";
import { describeClientError } from "./_output.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Result of a request to one daemon: a value or an error. */
export type DaemonResult<Value> = {
  client: OperatorClient;
  value: Value | undefined;
  error: OperatorClientError | undefined;
};

/**
 * Sends a request to all daemons at once, so that a slow one delays no other.
 */
export async function queryDaemons<Value>(
  clients: OperatorClient[],
  send: (client: OperatorClient) => OperatorResult<Value>,
): Promise<DaemonResult<Value>[]> {
  return await Promise.all(clients.map(async (client) => {
    const result = await send(client);
    return result.caseOf<DaemonResult<Value>>({
      Left: (error) => ({ client, value: undefined, error }),
      Right: (value) => ({ client, value, error: undefined }),
    });
  }));
}

/**
 * Returns the value with the highest version or offset, which `positionOf`
 * returns; undefined if no daemon returned a value.
 */
export function newestResult<Value>(
  results: DaemonResult<Value>[],
  positionOf: (value: Value) => number,
) {
  let newest: { client: OperatorClient; value: Value } | undefined;
  for (const { client, value } of results) {
    if (value === undefined) continue;
    if (newest !== undefined && positionOf(value) <= positionOf(newest.value)) {
      continue;
    }
    newest = { client, value };
  }
  return newest;
}

/** Prints the errors of all daemons, none of which returned a value. */
export function reportNoResult(
  results: DaemonResult<unknown>[],
  context: RemoteContext,
): ExitCode {
  const errors = results.flatMap(({ client, error }) =>
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

/** Whether the daemon refused the request, so that it had no effect. */
export function isRefusal(error: OperatorClientError) {
  return error.type === "refused" && error.refusal.status < 500;
}
