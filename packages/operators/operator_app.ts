import Koa from "koa";
import type { z } from "zod";
import { createKeyCheck } from "./_bearer_key.ts";
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

/** Longest time to send a body, in milliseconds. */
export const BODY_TIMEOUT_MS = 10_000;

const DEFAULT_HISTORY_LIMIT = 50;
const MAX_HISTORY_LIMIT = 1_000;

/** Options for {@linkcode createOperatorApp}. */
export type OperatorAppOptions = {
  /** Keys by the names of their operators, any of which is accepted. */
  keysByOperator: ReadonlyMap<string, string>;
  /** Called with an error that a handler threw; it contains no key. */
  onError?: (error: unknown) => void;
  /** Longest time to send a body, in milliseconds. */
  bodyTimeoutMs?: number;
};

/** Response: a status and a body that is sent as JSON. */
type Reply = { status: number; body: unknown };

type Route = {
  method: "GET" | "POST";
  path: RegExp;
  run: (ctx: Koa.Context, params: string[]) => Promise<Reply>;
};

/**
 * Creates the application of the operators' listener. Every path needs a key.
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
  const findOperator = createKeyCheck(options.keysByOperator);
  const routes = createRoutes(handlers, options);
  const app = new Koa();
  app.use(async (ctx) => {
    ctx.state.operator = findOperator(ctx.get("authorization"));
    const reply = ctx.state.operator !== undefined
      ? await runRoute(ctx, routes).catch((error: unknown) => {
        options.onError?.(error);
        return refuse(500, "The daemon failed to handle the request.");
      })
      : refuse(401, "The request has no valid operator key.");
    if (reply.status === 401) ctx.set("WWW-Authenticate", "Bearer");
    if (reply.status === 408) ctx.set("Connection", "close");
    ctx.status = reply.status;
    ctx.body = JSON.stringify(reply.body);
    ctx.type = "application/json";
  });
  // Broken connections of clients are not errors of the daemon.
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
      run: async (ctx) => {
        const body = await readFields(ctx, Publication, timeoutMs);
        return body.type === "refused"
          ? body.reply
          : answer(await handlers.submitChange(body.fields));
      },
    },
    ...createJobRoutes(handlers, timeoutMs),
    {
      method: "GET",
      path: /^\/v1\/set$/,
      run: async () => ok(await handlers.currentSet()),
    },
    {
      method: "GET",
      path: /^\/v1\/status$/,
      run: async () => ok(await handlers.status()),
    },
    {
      method: "GET",
      path: /^\/v1\/history$/,
      run: async (ctx) => {
        const text = ctx.URL.searchParams.get("limit");
        const limit = Number(text ?? DEFAULT_HISTORY_LIMIT);
        const isValid = Number.isInteger(limit) && limit > 0 &&
          limit <= MAX_HISTORY_LIMIT;
        return isValid
          ? ok(await handlers.history(limit))
          : refuse(400, `Expected a limit from 1 to ${MAX_HISTORY_LIMIT}.`);
      },
    },
    {
      method: "GET",
      path: /^\/v1\/explain\/([^/]+)\/([^/]+)$/,
      run: async (_ctx, [kindText, name]) => {
        const kind = ExplainedKind.safeParse(kindText);
        if (!kind.success) {
          const kinds = ExplainedKind.options.join(", ");
          return refuse(404, `Expected one of the kinds ${kinds}.`);
        }
        const found = await handlers.explain(kind.data, name ?? "");
        return found === undefined
          ? refuse(404, `There is no ${kind.data} "${name}".`)
          : ok(found);
      },
    },
    {
      method: "GET",
      path: /^\/v1\/publications\/([^/]+)$/,
      run: async (_ctx, [id]) => {
        const parsed = PublicationId.safeParse(id);
        return parsed.success
          ? ok(await handlers.publication(parsed.data))
          : refuse(400, "Expected a publication id.");
      },
    },
  ];
}

async function runRoute(ctx: Koa.Context, routes: Route[]): Promise<Reply> {
  const matching = routes.filter(({ path }) => path.test(ctx.path));
  if (matching.length === 0) return refuse(404, "There is no such path.");
  const route = matching.find(({ method }) => method === ctx.method);
  if (route === undefined) {
    ctx.set("Allow", matching.map(({ method }) => method).join(", "));
    return refuse(405, "The path does not accept this method.");
  }
  const params = route.path.exec(ctx.path)?.slice(1).map(decodeParam) ?? [];
  if (params.includes(undefined)) {
    return refuse(400, "The path is not valid percent-encoded text.");
  }
  return await route.run(ctx, params as string[]);
}

function decodeParam(text: string) {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

/** Routes about jobs. */
function createJobRoutes(
  handlers: OperatorHandlers,
  timeoutMs: number,
): Route[] {
  return [
    {
      method: "POST",
      path: /^\/v1\/jobs$/,
      run: async (ctx) => {
        const body = await readFields(ctx, JobSubmission, timeoutMs);
        return body.type === "refused"
          ? body.reply
          : answer(await handlers.submitJob(body.fields));
      },
    },
    {
      method: "POST",
      path: /^\/v1\/jobs\/([^/]+)\/cancel$/,
      run: async (ctx, [job]) => {
        const body = await readFields(ctx, JobCancellation, timeoutMs);
        return body.type === "refused"
          ? body.reply
          : answer(await handlers.cancelJob(job ?? "", body.fields));
      },
    },
    {
      method: "GET",
      path: /^\/v1\/jobs$/,
      run: async (ctx) => {
        const text = ctx.URL.searchParams.get("state") ?? undefined;
        const state = ListedJob.shape.state.optional().safeParse(text);
        return state.success
          ? ok(await handlers.listJobs(state.data))
          : refuse(400, "Expected the state of a job.");
      },
    },
  ];
}

type Fields<Value> =
  | { type: "read"; fields: Value }
  | { type: "refused"; reply: Reply };

/** Reads a body of JSON and checks its fields. */
async function readFields<Schema extends z.ZodType>(
  ctx: Koa.Context,
  schema: Schema,
  timeoutMs: number,
): Promise<Fields<z.infer<Schema>>> {
  const stop = (status: number, title: string) =>
    ({ type: "refused", reply: refuse(status, title) }) as const;
  if (!ctx.is("application/json") || ctx.get("content-encoding") !== "") {
    return stop(415, "Expected an unencoded body of type application/json.");
  }
  const body = await readBody(ctx.req, { maxBytes: MAX_BODY_BYTES, timeoutMs });
  if (body.type === "too-large") {
    return stop(413, `Expected a body of at most ${MAX_BODY_BYTES} bytes.`);
  }
  if (body.type === "too-slow") {
    return stop(408, `Expected the whole body within ${timeoutMs} ms.`);
  }
  if (body.type === "aborted") return stop(400, "The body is incomplete.");
  const json = parseJson(body.bytes);
  if (json === undefined) return stop(400, "The body is not valid JSON.");
  const parsed = schema.safeParse(json.value);
  if (!parsed.success) {
    return { type: "refused", reply: refuseFields(parsed.error.issues) };
  }
  // The log records who published, so nobody may use another one's name.
  const { operator } = parsed.data as { operator?: string };
  if (operator !== undefined && operator !== ctx.state.operator) {
    return stop(
      403,
      "The key belongs to another operator than the body names.",
    );
  }
  return { type: "read", fields: parsed.data };
}

function answer(outcome: PublicationOutcome | JobOutcome): Reply {
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

function ok(body: unknown): Reply {
  return { status: 200, body };
}

function refuse(status: number, title: string): Reply {
  return { status, body: { status, title } satisfies Refusal };
}

function refuseFields(issues: z.core.$ZodIssue[]): Reply {
  const problems = issues.map(({ path, message }) => ({
    field: path.join("."),
    message,
  }));
  const title = "The body is not valid.";
  return { status: 400, body: { status: 400, title, problems } };
}
