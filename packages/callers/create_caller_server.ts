import { createServer, type Server } from "node:http";
import type Koa from "koa";

/** Time in which the headers of a request have to arrive. */
const HEADERS_TIMEOUT_MS = 5_000;

/** Time in which a whole request has to arrive. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Longer than load balancers usually keep an idle connection open. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/**
 * Creates the HTTP server for callers with a strict parser and timeouts.
 *
 * @example
 * ```ts
 * import Koa from "koa";
 *
 * createCallerServer(new Koa()).close();
 * ```
 */
export function createCallerServer(app: Koa): Server {
  return createServer({
    insecureHTTPParser: false,
    requireHostHeader: true,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
  }, app.callback());
}
