/**
 * HTTP servers whose clients are kept within limits.
 *
 * @module
 */

import { createServer, type RequestListener, type Server } from "node:http";
import {
  type ClientGuard,
  createClientGuard,
  type GuardOptions,
} from "./client_guard.ts";

/** Time between two checks of Node.js for overdue headers and requests. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/**
 * Added to the time for a header, since headers that have arrived are not read
 * while the process is busy.
 */
const HEADER_MARGIN_MS = 2_000;

/** Time limits and sizes of requests, which may change while serving. */
export type RequestBounds = {
  maxHeaderBytes: number;
  headerTimeoutMs: number;
  /** Time for which a connection is kept open between requests. */
  idleTimeoutMs: number;
};

/** Options of a guarded server. */
export type GuardedServerOptions =
  & Omit<GuardOptions, "idleTimeoutMs" | "onCheck">
  & { bounds(): RequestBounds };

/** HTTP server and the guard of its clients. */
export type GuardedServer = { server: Server; guard: ClientGuard };

/**
 * Creates an HTTP server with a guard. `createListener` gets the guard, through
 * which it reads bodies.
 *
 * @example
 * ```ts
 * const { server } = createGuardedServer(() => listener, options);
 * ```
 */
export function createGuardedServer(
  createListener: (guard: ClientGuard) => RequestListener,
  options: GuardedServerOptions,
): GuardedServer {
  const applyBounds = () => {
    const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = options.bounds();
    server.headersTimeout = headerTimeoutMs + HEADER_MARGIN_MS;
    server.keepAliveTimeout = idleTimeoutMs;
    Object.assign(server, { maxHeaderSize: maxHeaderBytes });
  };
  const guard = createClientGuard({
    ...options,
    idleTimeoutMs: () => options.bounds().idleTimeoutMs,
    onCheck: applyBounds,
  });
  const server = createServer(
    {
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      // The guard checks it, so that it counts such requests, too.
      requireHostHeader: false,
    },
    guard.wrap(createListener(guard)),
  );
  applyBounds();
  guard.watch(server);
  return { server, guard };
}
