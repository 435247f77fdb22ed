/**
 * Reading of executors' responses: in memory, or as a stream if they are large.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import type { ExchangeFailure, ExchangeResult } from "./exchange_result.ts";
import type { MemoryBudget } from "./memory_budget.ts";

/** Largest response that is buffered in memory; larger ones are streamed. */
export const MAX_BUFFERED_BYTES = 1_048_576;

/** Header by which an executor states that it did not run the request. */
export const NOT_RUN_HEADER = "x-not-run";

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

type ReadResponseOptions = {
  /** Id of the request, which the response has to carry. */
  id: string;
  budget: MemoryBudget;
  /** Called with the response, or with the executor's refusal. */
  settle: (result: ExchangeResult) => void;
  /** Called if the response cannot be used. */
  fail: (reason: ExchangeFailure) => void;
};

/**
 * Reads a response into memory. It is passed on as a stream instead if it is
 * larger than {@linkcode MAX_BUFFERED_BYTES} or the memory budget is used up.
 */
export function readResponse(
  incoming: IncomingMessage,
  options: ReadResponseOptions,
): void {
  const { budget, settle, fail } = options;
  incoming.on("error", () => fail("broken"));
  if (incoming.headers["x-request-id"] !== options.id) {
    return fail("wrong-answer");
  }
  if (!isFramed(incoming)) return fail("unframed-answer");
  const status = incoming.statusCode ?? 0;
  if (status >= 400 && incoming.headers[NOT_RUN_HEADER] === "true") {
    settle({ type: "failed", reason: "refused", notRun: true });
    incoming.resume();
    return;
  }
  const head = { status, headers: endToEndHeaders(incoming) };
  const chunks: Uint8Array[] = [];
  let size = 0;
  const length = contentLength(incoming);
  const stream = () => {
    const body = new PassThrough();
    for (const chunk of chunks) body.write(chunk);
    body.on("close", () => budget.release(size));
    incoming.off("data", onData);
    incoming.off("end", onEnd);
    incoming.off("close", onClose);
    incoming.on("error", () => body.destroy());
    incoming.on("close", () => incoming.complete || body.destroy());
    incoming.pipe(body);
    settle({ type: "streamed", ...head, length, stream: body });
  };
  const onData = (chunk: Uint8Array) => {
    chunks.push(chunk);
    const fits = size + chunk.length <= MAX_BUFFERED_BYTES;
    if (!fits || !budget.reserve(chunk.length)) return stream();
    size += chunk.length;
  };
  const onEnd = () => {
    if (!incoming.complete) return;
    incoming.off("close", onClose);
    const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    const release = () => budget.release(size);
    settle({ type: "answered", ...head, body, release });
  };
  const onClose = () => {
    budget.release(size);
    fail("broken");
  };
  if (length !== undefined && length > MAX_BUFFERED_BYTES) return stream();
  incoming.on("data", onData);
  incoming.on("end", onEnd);
  incoming.on("close", onClose);
}

/**
 * Whether a complete response can be told from one that a broken connection
 * truncated. That is impossible if the end of the connection ends the body.
 */
function isFramed(incoming: IncomingMessage): boolean {
  const { statusCode, headers, req } = withRequest(incoming);
  if (statusCode === 204 || statusCode === 304 || req?.method === "HEAD") {
    return true;
  }
  return headers["content-length"] !== undefined ||
    /(^|,)\s*chunked$/i.test(headers["transfer-encoding"] ?? "");
}

function withRequest(incoming: IncomingMessage) {
  return incoming as IncomingMessage & { req?: { method: string } };
}

function contentLength(incoming: IncomingMessage): number | undefined {
  const length = incoming.headers["content-length"];
  return length === undefined ? undefined : Number(length);
}

function endToEndHeaders(incoming: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (HOP_BY_HOP_HEADERS.has(name) || value === undefined) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return headers;
}
