/**
 * Parsing and validation of the request line and headers of callers.
 *
 * @module
 */

import { Urgency } from "@lagoonloom/decisions";
import { MAX_NAME_LENGTH } from "@lagoonloom/objects";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./caller_request.ts";
import type { ProblemDetails } from "./problem_details.ts";

/** Longest accepted idempotency key in characters. */
const MAX_KEY_LENGTH = 255;

/** Longest accepted deadline in milliseconds. */
const MAX_DEADLINE_MS = 600_000;

const METHODS = new Set(["GET", "POST", "PUT", "DELETE"]);

const SERVICE_PATH = /^\/v1\/services\/([a-z0-9-]+)(\/[^?#]*)?(\?[^#]*)?$/;

/** Matches `.` and `..` as path segments, also percent-encoded. */
const DOT_SEGMENT = /(^|[/\\])(\.|%2e){1,2}([/\\]|$)/i;

/** Matches separators that could hide a dot segment from the check above. */
const ENCODED_SEPARATOR = /%2f|%5c|\\/i;

/**
 * Headers that are not forwarded, since they belong to the caller's connection
 * or are set by the daemon.
 */
const DROPPED_HEADERS = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "request-class",
  "request-deadline-ms",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-caller",
  "x-request-id",
]);

/** Fields of a request that are known from its request line and headers. */
export type RequestHead = Omit<CallerRequest, "body" | "signal">;

/** Options of {@linkcode parseHead}. */
export type ParseOptions = {
  /** Teams by bearer token. */
  teamsByToken: ReadonlyMap<string, string>;
};

/**
 * Parses the request line and headers of a request. Returns a problem if the
 * request has to be refused.
 */
export function parseHead(
  incoming: IncomingMessage,
  options: ParseOptions,
): RequestHead | ProblemDetails {
  const caller = findCaller(
    incoming.headers.authorization,
    options.teamsByToken,
  );
  if (caller === undefined) {
    return notRunProblem(401, "unauthorized", "The bearer token is not known.");
  }
  const path = incoming.url ?? "";
  const match = SERVICE_PATH.exec(path);
  const service = match?.[1];
  if (service === undefined || service.length > MAX_NAME_LENGTH) {
    return notRunProblem(
      404,
      "unknown-path",
      "The path is not of the form /v1/services/NAME/PATH.",
    );
  }
  const subpath = match?.[2] ?? "";
  if (DOT_SEGMENT.test(subpath) || ENCODED_SEPARATOR.test(subpath)) {
    return notRunProblem(
      400,
      "malformed",
      "The path has a dot segment or an encoded separator.",
    );
  }
  const method = incoming.method ?? "";
  if (!METHODS.has(method)) {
    return notRunProblem(
      405,
      "method",
      "The method is not GET, POST, PUT or DELETE.",
    );
  }
  const urgency = Urgency.safeParse(
    incoming.headers["request-class"] ?? "normal",
  );
  if (!urgency.success) {
    return notRunProblem(
      400,
      "malformed",
      "Request-Class is not urgent, normal or deferrable.",
    );
  }
  const deadlineMs = parseDeadline(incoming.headers["request-deadline-ms"]);
  if (deadlineMs === "invalid") {
    return notRunProblem(
      400,
      "malformed",
      `Request-Deadline-Ms is not a number from 1 to ${MAX_DEADLINE_MS}.`,
    );
  }
  const idempotencyKey = incoming.headers["idempotency-key"];
  if (idempotencyKey !== undefined && !isSingleToken(idempotencyKey)) {
    return notRunProblem(
      400,
      "malformed",
      "Idempotency-Key is not a single token.",
    );
  }
  return {
    service,
    method: method as RequestHead["method"],
    path,
    headers: forwardedHeaders(incoming, caller),
    urgency: urgency.data,
    deadlineMs,
    caller,
    idempotencyKey: idempotencyKey as string | undefined,
  };
}

/** Creates a problem response to a request that changed no state. */
export function notRunProblem(
  status: number,
  reason: string,
  detail: string,
): ProblemDetails {
  return { status, outcome: "not-run", reason, detail };
}

function findCaller(
  authorization: string | undefined,
  teamsByToken: ReadonlyMap<string, string>,
): string | undefined {
  const token = /^Bearer +(\S+)$/i.exec(authorization ?? "")?.[1];
  return token === undefined ? undefined : teamsByToken.get(token);
}

function parseDeadline(
  header: string | string[] | undefined,
): number | undefined | "invalid" {
  if (header === undefined) return undefined;
  if (typeof header !== "string" || !/^\d{1,6}$/.test(header)) return "invalid";
  const deadlineMs = Number(header);
  const isInRange = deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS;
  return isInRange ? deadlineMs : "invalid";
}

/**
 * Whether a header is one token. Node.js joins repeated headers with a comma
 * and a space, so that these are refused.
 */
function isSingleToken(header: string | string[]): boolean {
  return typeof header === "string" && header.length <= MAX_KEY_LENGTH &&
    /^[\x21-\x7e]+$/.test(header);
}

function forwardedHeaders(
  incoming: IncomingMessage,
  caller: string,
): Record<string, string> {
  const headers: Record<string, string> = { "x-caller": caller };
  const connection = incoming.headers.connection;
  // The header Connection may name further headers that must not be forwarded.
  const hopByHop = connection === undefined || connection === "keep-alive"
    ? undefined
    : new Set(connection.toLowerCase().split(/\s*,\s*/));
  for (const name in incoming.headers) {
    const value = incoming.headers[name];
    if (value === undefined || DROPPED_HEADERS.has(name)) continue;
    if (hopByHop?.has(name)) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return headers;
}
