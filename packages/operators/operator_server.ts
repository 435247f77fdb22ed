import { createServer, type Server } from "node:http";
import {
  BODY_TIMEOUT_MS,
  createOperatorApp,
  type OperatorAppOptions,
} from "./operator_app.ts";
import type { OperatorHandlers } from "./operator_handlers.ts";

const HEADERS_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
const MAX_CONNECTIONS = 256;

/**
 * Creates the HTTP server for operators, which does not listen yet. It has
 * timeouts for headers and bodies and a limit on connections.
 *
 * @example
 * ```ts
 * const keysByOperator = new Map([[name, key]]);
 * const server = createOperatorServer(handlers, { keysByOperator });
 * server.listen(25_001, "127.0.0.1");
 * ```
 */
export function createOperatorServer(
  handlers: OperatorHandlers,
  options: OperatorAppOptions,
): Server {
  const app = createOperatorApp(handlers, options);
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    // Longer than the timeout of the body, after which the client gets a
    // response.
    requestTimeout: HEADERS_TIMEOUT_MS +
      2 * (options.bodyTimeoutMs ?? BODY_TIMEOUT_MS),
    connectionsCheckingInterval: 1_000,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  }, app.callback());
  server.maxConnections = MAX_CONNECTIONS;
  return server;
}
