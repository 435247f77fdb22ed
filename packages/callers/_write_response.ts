/**
 * Writing of responses and problems to callers.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { CallerOutcome } from "./caller_outcome.ts";
import { encodeProblem, type ProblemDetails } from "./problem_details.ts";

/** Longest time for which the rest of a refused request is discarded. */
const MAX_DISCARD_MS = 500;

/** Writes the outcome of a request as the response to its caller. */
export function writeOutcome(
  response: ServerResponse,
  outcome: CallerOutcome,
): void {
  if (outcome.type === "problem") {
    return writeProblem(response, outcome.problem);
  }
  if (outcome.type === "streamed") return writeStream(response, outcome);
  const { status, headers, body } = outcome;
  response.on("close", outcome.release);
  if (response.destroyed) {
    outcome.release();
    response.off("close", outcome.release);
    return;
  }
  const hasBody = status !== 204 && status !== 304;
  const length = { "content-length": String(body.length) };
  response.writeHead(status, hasBody ? { ...headers, ...length } : headers);
  response.end(hasBody ? body : undefined);
}

/** Writes a problem as the response to a caller. */
export function writeProblem(
  response: ServerResponse,
  problem: ProblemDetails,
): void {
  const body = encodeProblem(problem);
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(Buffer.byteLength(body)),
  };
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(problem.retryAfterMs / 1_000));
    headers["retry-after"] = String(seconds);
  }
  if (response.req.complete) {
    response.writeHead(problem.status, headers);
    response.end(body);
    return;
  }
  // The unread rest of a body must not be parsed as the next request.
  headers["connection"] = "close";
  response.writeHead(problem.status, headers);
  response.write(body);
  finishAfterRequestEnd(response);
}

/**
 * Ends a response once the caller has sent its whole request, or after a
 * limited time. If the connection were closed with unread bytes, it would be
 * reset, and the caller might lose the response.
 */
function finishAfterRequestEnd(response: ServerResponse): void {
  const { req: incoming } = response;
  const end = () => {
    clearTimeout(timeout);
    response.end();
  };
  const timeout = setTimeout(end, MAX_DISCARD_MS);
  incoming.once("close", end);
  incoming.once("end", end);
  incoming.resume();
}

/**
 * Pipes a stream into the response. If the stream breaks, the connection is
 * destroyed, so that the caller notices that the body is incomplete.
 */
function writeStream(
  response: ServerResponse,
  outcome: Extract<CallerOutcome, { type: "streamed" }>,
): void {
  const { status, headers, length, stream } = outcome;
  stream.on("error", () => response.destroy());
  stream.on("close", () => {
    if (!stream.readableEnded) response.destroy();
  });
  response.on("close", () => stream.destroy());
  if (response.destroyed || stream.destroyed) {
    stream.destroy();
    response.destroy();
    return;
  }
  const lengthHeader = length === undefined
    ? undefined
    : { "content-length": String(length) };
  response.writeHead(status, { ...headers, ...lengthHeader });
  stream.pipe(response);
}
