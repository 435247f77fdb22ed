import type { ServerResponse } from "node:http";
import type { CallerOutcome } from "./caller_outcome.ts";
import { encodeProblem, type ProblemDetails } from "./problem_details.ts";

/** Time for which the rest of a refused request is read. */
const MAX_DISCARD_MS = 500;

/** Writes the answer to the caller. */
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

/** Writes a problem answer. */
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
  // The rest of an unread body must not be taken for the next request.
  headers["connection"] = "close";
  response.writeHead(problem.status, headers);
  response.write(body);
  finishAfterRequestEnd(response);
}

/**
 * Ends an answer when the caller has sent its whole request or after a limited
 * time. A connection that is closed with unread bytes is reset, and the caller
 * may lose the answer.
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

/** A stream that breaks destroys the connection, so the caller sees it. */
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
  const framing = length === undefined
    ? undefined
    : { "content-length": String(length) };
  response.writeHead(status, { ...headers, ...framing });
  stream.pipe(response);
}
