/**
 * HTTP application for callers: health checks, metrics and requests to
 * services.
 *
 * @module
 */

import { createMemoryBudget, type MemoryBudget } from "@lagoonloom/endpoints";
import Koa from "koa";
import { notRunProblem, parseHead } from "./_parse_request.ts";
import { readBody, reserveBody } from "./read_body.ts";
import { writeOutcome, writeProblem } from "./_write_response.ts";
import type { CallerOutcome } from "./caller_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";

/** Default for the largest accepted body, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/** Default for the total size of the bodies of open requests, in bytes. */
export const DEFAULT_MAX_TOTAL_BODY_BYTES = 33_554_432;

/** Default for the time in which a body has to arrive. */
export const DEFAULT_BODY_TIMEOUT_MS = 5_000;

const CONNECTION_ERRORS = new Set(["ECONNRESET", "ECONNABORTED", "EPIPE"]);

/** Options of {@linkcode createCallerApp}. */
export type CallerAppOptions = {
  /** Teams by bearer token. */
  teamsByToken: ReadonlyMap<string, string>;
  /** Largest accepted body. */
  maxBodyBytes?: number;
  /** Time in which a body has to arrive. */
  bodyTimeoutMs?: number;
  /** Largest total size of the bodies of all open requests. */
  maxTotalBodyBytes?: number;
  /** Whether the process is healthy, for `/livez`. */
  isLive: () => boolean;
  /** Whether the load balancer should send requests here, for `/readyz`. */
  isReady: () => boolean;
  /** Metrics in the text format of Prometheus. */
  metrics: () => Promise<string>;
  /** Whether connections should close after their current response. */
  isStopping: () => boolean;
  /** Handles a valid request to a service. */
  handle: (request: CallerRequest) => Promise<CallerOutcome>;
};

/**
 * Creates the application that serves callers.
 *
 * @example
 * ```ts
 * const app = createCallerApp({
 *   teamsByToken: new Map([["token", "quoting"]]),
 *   isLive: () => true,
 *   isReady: () => true,
 *   isStopping: () => false,
 *   metrics: () => Promise.resolve(""),
 *   handle: () => Promise.reject(new Error("Not used.")),
 * });
 * app.callback();
 * ```
 */
export function createCallerApp(options: CallerAppOptions): Koa {
  const app = new Koa();
  const budget = createMemoryBudget(
    options.maxTotalBodyBytes ?? DEFAULT_MAX_TOTAL_BODY_BYTES,
  );
  app.use(async (context) => {
    if (options.isStopping()) context.set("connection", "close");
    if (await serveProbe(context, options)) return;
    // Koa must not change the response, which is passed on byte for byte.
    context.respond = false;
    await serveCaller(context, options, budget);
  });
  // Errors that callers cause are not logged, since they could flood the log.
  app.on("error", (error: NodeJS.ErrnoException) => {
    if (!isCausedByCaller(error)) app.onerror(error);
  });
  return app;
}

/** Whether an error comes from a malformed request or a broken connection. */
function isCausedByCaller({ code = "" }: NodeJS.ErrnoException): boolean {
  return code.startsWith("HPE_") || CONNECTION_ERRORS.has(code);
}

/** Serves the paths for probes and metrics; returns whether it was one. */
async function serveProbe(
  context: Koa.Context,
  options: CallerAppOptions,
): Promise<boolean> {
  const path = context.req.url;
  if (path === "/livez") context.status = options.isLive() ? 200 : 503;
  else if (path === "/readyz") context.status = options.isReady() ? 200 : 503;
  else if (path === "/metrics") {
    context.body = await options.metrics();
    return true;
  } else return false;
  context.body = context.status === 200 ? "ok\n" : "unavailable\n";
  return true;
}

async function serveCaller(
  context: Koa.Context,
  options: CallerAppOptions,
  budget: MemoryBudget,
): Promise<void> {
  const { req: incoming, res: response } = context;
  const head = parseHead(incoming, options);
  if ("status" in head) return writeProblem(response, head);
  const result = await readBody(incoming, {
    maxBytes: options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
    timeoutMs: options.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
    memory: reserveBody(budget),
  });
  switch (result.type) {
    case "broken":
      response.destroy();
      return;
    case "too-large":
      return writeProblem(
        response,
        notRunProblem(413, "too-large", "The body is too large."),
      );
    case "no-memory": {
      const detail = "The bodies of open requests use all the memory for them.";
      const problem = notRunProblem(503, "no-memory", detail);
      return writeProblem(response, { ...problem, retryAfterMs: 1_000 });
    }
    case "too-slow":
      return writeProblem(
        response,
        notRunProblem(408, "too-slow", "The body did not arrive in time."),
      );
  }
  const disconnection = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) disconnection.abort();
  });
  const request = { ...head, body: result.body, signal: disconnection.signal };
  try {
    writeOutcome(response, await options.handle(request));
  } finally {
    budget.release(result.body.length);
  }
}
