import { createMemoryBudget, type MemoryBudget } from "@lagoonloom/endpoints";
import Koa from "koa";
import { notRunProblem, parseHead } from "./_parse_request.ts";
import { readBody } from "./_read_body.ts";
import { writeOutcome, writeProblem } from "./_write_response.ts";
import type { CallerOutcome } from "./caller_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";

/** Largest accepted body unless the settings say otherwise. */
export const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/** Memory for the bodies of waiting requests unless the settings say so. */
export const DEFAULT_MAX_TOTAL_BODY_BYTES = 33_554_432;

/** Time in which a body has to arrive unless the settings say otherwise. */
export const DEFAULT_BODY_TIMEOUT_MS = 5_000;

const CONNECTION_ERRORS = new Set(["ECONNRESET", "ECONNABORTED", "EPIPE"]);

/** Options of {@linkcode createCallerApp}. */
export type CallerAppOptions = {
  /** Teams by bearer token. */
  teamsByToken: ReadonlyMap<string, string>;
  maxBodyBytes?: number;
  bodyTimeoutMs?: number;
  /** Memory for the bodies of all requests in progress. */
  maxTotalBodyBytes?: number;
  /** Whether the process works at all. */
  isLive: () => boolean;
  /** Whether the load balancer should send requests here. */
  isReady: () => boolean;
  /** Metrics in the text format of Prometheus. */
  metrics: () => Promise<string>;
  /** Whether connections should close after their current answer. */
  isStopping: () => boolean;
  handle: (request: CallerRequest) => Promise<CallerOutcome>;
};

/**
 * Creates the application for callers.
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
    if (await answerProbe(context, options)) return;
    // The answer is written below, byte for byte as the executor gave it.
    context.respond = false;
    await answerCaller(context, options, budget);
  });
  // Callers could otherwise fill the output with errors of their own requests.
  app.on("error", (error: NodeJS.ErrnoException) => {
    if (!isOfConnection(error)) app.onerror(error);
  });
  return app;
}

/** Whether a malformed request or a broken connection caused an error. */
function isOfConnection({ code = "" }: NodeJS.ErrnoException): boolean {
  return code.startsWith("HPE_") || CONNECTION_ERRORS.has(code);
}

async function answerProbe(
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

async function answerCaller(
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
    budget,
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
      const detail = "The bodies of waiting requests fill the memory.";
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
