/**
 * Clients and contexts for tests of commands.
 *
 * @module
 */

import type {
  OperatorClient,
  OperatorClientError,
  OperatorHandlers,
} from "@lagoonloom/operators";
import { Left, Right } from "purify-ts";
import type { RemoteContext } from "./command_context.ts";

/** Error after which the request may have taken effect. */
export const RESPONSE_LOST: OperatorClientError = {
  type: "unreachable",
  sent: true,
  message: "timeout",
};

/** Error after which the request cannot have been sent. */
export const CONNECTION_REFUSED: OperatorClientError = {
  type: "unreachable",
  sent: false,
  message: "connection refused",
};

/** Returns a client that calls handlers directly, without a connection. */
export function createDirectClient(
  handlers: OperatorHandlers,
  overrides: Partial<OperatorClient> = {},
): OperatorClient {
  return {
    address: "127.0.0.1:1",
    submitChange: async (value) => Right(await handlers.submitChange(value)),
    currentSet: async () => Right(await handlers.currentSet()),
    status: async () => Right(await handlers.status()),
    history: async (limit) => Right(await handlers.history(limit)),
    explain: async (kind, name) => Right((await handlers.explain(kind, name))!),
    publication: async (id) => Right(await handlers.publication(id)),
    submitJob: async (job) => Right(await handlers.submitJob(job)),
    cancelJob: async (...sent) => Right(await handlers.cancelJob(...sent)),
    listJobs: async (state) => Right(await handlers.listJobs(state)),
    ...overrides,
  };
}

/** Returns a client whose requests all fail with an error. */
export function createFailingClient(
  error: OperatorClientError,
): OperatorClient {
  const fail = () => Promise.resolve(Left(error));
  return {
    address: "127.0.0.1:2",
    submitChange: fail,
    currentSet: fail,
    status: fail,
    history: fail,
    explain: fail,
    publication: fail,
    submitJob: fail,
    cancelJob: fail,
    listJobs: fail,
  };
}

/** Returns a context that collects the printed lines. */
export function exampleContext(overrides: Partial<RemoteContext> = {}) {
  const out: string[] = [];
  const err: string[] = [];
  const context: RemoteContext = {
    print: (line) => out.push(line),
    printError: (line) => err.push(line),
    isJson: false,
    useColour: false,
    readFile: () => Promise.resolve("[pool quoting]\n"),
    clients: [],
    operator: "ada",
    maxAttempts: 3,
    retryDelayMs: 1,
    createId: () => "own-id",
    wait: () => Promise.resolve(),
    ...overrides,
  };
  return { context, out, err };
}
