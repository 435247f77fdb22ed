import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import type { ExchangeFailure, ExchangeResult } from "./exchange_result.ts";
import type { MemoryBudget } from "./memory_budget.ts";

/** Larger answers are streamed. */
export const MAX_BUFFERED_BYTES = 1_048_576;

/** Header by which an executor states that it did not run the request. */
export const NOT_RUN_HEADER = "x-not-run";

/** Headers that belong to one connection and are not passed on. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

type ReadOptions = {
  id: string;
  budget: MemoryBudget;
  settle: (result: ExchangeResult) => void;
  fail: (reason: ExchangeFailure) => void;
};

/** Reads an answer whole, or hands it over as a stream if it is too large. */
export function readResponse(
  incoming: IncomingMessage,
  options: ReadOptions,
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
  const head = { status, headers: answerHeaders(incoming) };
  const chunks: Uint8Array[] = [];
  let size = 0;
  const length = statedLength(incoming);
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
 * Whether the end of the answer can be told from a broken connection. An
 * answer that ends with its connection can not.
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

function statedLength(incoming: IncomingMessage): number | undefined {
  const length = incoming.headers["content-length"];
  return length === undefined ? undefined : Number(length);
}

function answerHeaders(incoming: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (CONNECTION_HEADERS.has(name) || value === undefined) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return headers;
}
