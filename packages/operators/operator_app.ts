/**
 * HTTP application of the daemons' API for operators.
 *
 * @module
 */

import Koa from "koa";
import type { z } from "zod";
import { createOperatorLookup } from "./_operator_lookup.ts";
import { readBody } from "./_read_body.ts";
import { ExplainedKind } from "./explanation.ts";
import {
  JobCancellation,
  type JobOutcome,
  JobSubmission,
  ListedJob,
} from "./job_request.ts";
import type { OperatorHandlers } from "./operator_handlers.ts";
import {
  Publication,
  PublicationId,
  type PublicationOutcome,
} from "./publication.ts";
import type { Refusal } from "./refusal.ts";

/** Largest body of a request in bytes. */
export const MAX_BODY_BYTES = 4 * 1_024 * 1_024;

/** Default for the time in which a body has to arrive, in milliseconds. */
export const BODY_TIMEOUT_MS = 10_000;

const DEFAULT_HISTORY_LIMIT = 50;
const MAX_HISTORY_LIMIT = 1_000;

/** Options for {@linkcode createOperatorApp}. */
export type OperatorAppOptions = {
  /** Key of each operator, by name. */
  keysByOperator: ReadonlyMap<string, string>;
  /** Called with an error that a handler threw; it never contains a key. */
  onError?: (error: unknown) => void;
  /** Time in which a body has to arrive, in milliseconds. */
  bodyTimeoutMs?: number;
};

/** Status of a response, and the body that is sent as JSON. */
type JsonResponse = { status: number; body: unknown };

type Route = {
  method: "GET" | "POST";
  path: RegExp;
  handle: (ctx: Koa.Context, params: string[]) => Promise<JsonResponse>;
};

/**
 * Creates the application that serves operators. Every path needs a key.
 *
 * @example
 * ```ts
 * const keysByOperator = new Map([[name, key]]);
 * const app = createOperatorApp(handlers, { keysByOperator });
 * const server = createServer(app.callback());
 * ```
 */
export function createOperatorApp(
  handlers: OperatorHandlers,
  options: OperatorAppOptions,
): Koa {
  const findOperator = createOperatorLookup(options.keysByOperator);
  const routes = createRoutes(handlers, options);
  const app = new Koa();
  app.use(async (ctx) => {
    ctx.state.operator = findOperator(ctx.get("authorization"));
    const response = ctx.state.operator !== undefined
      ? await dispatch(ctx, routes).catch((error: unknown) => {
        options.onError?.(error);
        return errorResponse(500, "The daemon failed to handle the request.");
      })
      : errorResponse(401, "The request has no valid operator key.");
    if (response.status === 401) ctx.set("WWW-Authenticate", "Bearer");
    if (response.status === 408) ctx.set("Connection", "close");
    ctx.status = response.status;
    ctx.body = JSON.stringify(response.body);
    ctx.type = "application/json";
  });
  // Connections that clients break are not errors of the daemon.
  app.on("error", () => undefined);
  return app;
}

function createRoutes(
  handlers: OperatorHandlers,
  options: OperatorAppOptions,
): Route[] {
  const timeoutMs = options.bodyTimeoutMs ?? BODY_TIMEOUT_MS;
  return [
    {
      method: "POST",
      path: /^\/v1\/changes$/,
      handle: async (ctx) => {
        const body = await readFields(ctx, Publication, timeoutMs);
        return body.type === "refused"
          ? body.response
          : outcomeResponse(await handlers.submitChange(body.fields));
      },
    },
    ...createJobRoutes(handlers, timeoutMs),
    {
      method: "GET",
      path: /^\/v1\/set$/,
      handle: async () => okResponse(await handlers.currentSet()),
    },
    {
      method: "GET",
      path: /^\/v1\/status$/,
      handle: async () => okResponse(await handlers.status()),
    },
    {
      method: "GET",
      path: /^\/v1\/history$/,
      handle: async (ctx) => {
        const text = ctx.URL.searchParams.get("limit");
        const limit = Number(text ?? DEFAULT_HISTORY_LIMIT);
        const isValid = Number.isInteger(limit) && limit > 0 &&
          limit <= MAX_HISTORY_LIMIT;
        return isValid
          ? okResponse(await handlers.history(limit))
          : errorResponse(
            400,
            `Expected a limit from 1 to ${MAX_HISTORY_LIMIT}.`,
          );
      },
    },
    {
      method: "GET",
      path: /^\/v1\/explain\/([^/]+)\/([^/]+)$/,
      handle: async (_ctx, [kindText, name]) => {
        const kind = ExplainedKind.safeParse(kindText);
        if (!kind.success) {
          const kinds = ExplainedKind.options.join(", ");
          return errorResponse(404, `Expected one of the kinds ${kinds}.`);
        }
        const found = await handlers.explain(kind.data, name ?? "");
        return found === undefined
          ? errorResponse(404, `There is no ${kind.data} "${name}".`)
          : okResponse(found);
      },
    },
    {
      method: "GET",
      path: /^\/v1\/publications\/([^/]+)$/,
      handle: async (_ctx, [id]) => {
        const parsed = PublicationId.safeParse(id);
        return parsed.success
          ? okResponse(await handlers.publication(parsed.data))
          : errorResponse(400, "Expected a publication id.");
      },
    },
  ];
}

async function dispatch(
  ctx: Koa.Context,
  routes: Route[],
): Promise<JsonResponse> {
  const matching = routes.filter(({ path }) => path.test(ctx.path));
  if (matching.length === 0) {
    return errorResponse(404, "There is no such path.");
  }
  const route = matching.find(({ method }) => method === ctx.method);
  if (route === undefined) {
    ctx.set("Allow", matching.map(({ method }) => method).join(", "));
    return errorResponse(405, "The path does not accept this method.");
  }
  const params = route.path.exec(ctx.path)?.slice(1).map(decodeParam) ?? [];
  if (params.includes(undefined)) {
    return errorResponse(400, "The path is not valid percent-encoded text.");
  }
  return await route.handle(ctx, params as string[]);
}

function decodeParam(text: string) {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

/** Returns the routes of requests about jobs. */
function createJobRoutes(
  handlers: OperatorHandlers,
  timeoutMs: number,
): Route[] {
  return [
    {
      method: "POST",
      path: /^\/v1\/jobs$/,
      handle: async (ctx) => {
        const body = await readFields(ctx, JobSubmission, timeoutMs);
        return body.type === "refused"
          ? body.response
          : outcomeResponse(await handlers.submitJob(body.fields));
      },
    },
    {
      method: "POST",
      path: /^\/v1\/jobs\/([^/]+)\/cancel$/,
      handle: async (ctx, [job]) => {
        const body = await readFields(ctx, JobCancellation, timeoutMs);
        return body.type === "refused"
          ? body.response
          : outcomeResponse(await handlers.cancelJob(job ?? "", body.fields));
      },
    },
    {
      method: "GET",
      path: /^\/v1\/jobs$/,
      handle: async (ctx) => {
        const text = ctx.URL.searchParams.get("state") ?? undefined;
        const state = ListedJob.shape.state.optional().safeParse(text);
        return state.success
          ? okResponse(await handlers.listJobs(state.data))
          : errorResponse(400, "Expected a state of a job, such as queued.");
      },
    },
  ];
}

type ReadResult<Value> =
  | { type: "read"; fields: Value }
  | { type: "refused"; response: JsonResponse };

/** Reads a JSON body and validates it; refuses the name of another operator. */
async function readFields<Schema extends z.ZodType>(
  ctx: Koa.Context,
  schema: Schema,
  timeoutMs: number,
): Promise<ReadResult<z.infer<Schema>>> {
  const refuse = (status: number, title: string) =>
    ({ type: "refused", response: errorResponse(status, title) }) as const;
  if (!ctx.is("application/json") || ctx.get("content-encoding") !== "") {
    return refuse(415, "Expected an unencoded body of type application/json.");
  }
  const body = await readBody(ctx.req, { maxBytes: MAX_BODY_BYTES, timeoutMs });
  if (body.type === "too-large") {
    return refuse(413, `Expected a body of at most ${MAX_BODY_BYTES} bytes.`);
  }
  if (body.type === "too-slow") {
    return refuse(408, `Expected the whole body within ${timeoutMs} ms.`);
  }
  if (body.type === "aborted") return refuse(400, "The body is incomplete.");
  const json = parseJson(body.bytes);
  if (json === undefined) return refuse(400, "The body is not valid JSON.");
  const parsed = schema.safeParse(json.value);
  if (!parsed.success) {
    return {
      type: "refused",
      response: invalidFieldsResponse(parsed.error.issues),
    };
  }
  // The log records who published, so operators may use only their own names.
  const { operator } = parsed.data as { operator?: string };
  if (operator !== undefined && operator !== ctx.state.operator) {
    return refuse(
      403,
      "The key belongs to another operator than the body names.",
    );
  }
  return { type: "read", fields: parsed.data };
}

function outcomeResponse(
  outcome: PublicationOutcome | JobOutcome,
): JsonResponse {
  return { status: statusOf(outcome), body: outcome };
}

function parseJson(bytes: Buffer) {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return { value: JSON.parse(text) as unknown };
  } catch {
    return undefined;
  }
}

function statusOf(outcome: PublicationOutcome | JobOutcome) {
  if (outcome.type === "accepted") return 200;
  if (outcome.type === "unknown") return 504;
  return { conflict: 409, invalid: 422, unavailable: 503 }[outcome.cause];
}

function okResponse(body: unknown): JsonResponse {
  return { status: 200, body };
}

function errorResponse(status: number, title: string): JsonResponse {
  return { status, body: { status, title } satisfies Refusal };
}

function invalidFieldsResponse(issues: z.core.$ZodIssue[]): JsonResponse {
  const problems = issues.map(({ path, message }) => ({
    field: path.join("."),
    message,
  }));
  const title = "The body is not valid.";
  return { status: 400, body: { status: 400, title, problems } };
}
