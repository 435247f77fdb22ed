/**
 * Reading of request bodies within limits of size, time and memory.
 *
 * @module
 */

import type { MemoryBudget } from "@lagoonloom/endpoints";
import type { IncomingMessage } from "node:http";

const EMPTY_BODY = new Uint8Array(0);

/** Body of a request, or the reason why it was not read. */
export type BodyResult =
  | { type: "body"; body: Uint8Array }
  | { type: "too-large" | "too-slow" | "broken" | "no-memory" };

/**
 * Reads a body, limited in size and time. Its bytes are reserved in the budget;
 * after a result of type `body`, the caller of this function has to release
 * them.
 */
export function readBody(
  incoming: IncomingMessage,
  options: { maxBytes: number; timeoutMs: number; budget: MemoryBudget },
): Promise<BodyResult> | BodyResult {
  const length = incoming.headers["content-length"];
  const isChunked = incoming.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (length === undefined || length === "0")) {
    return { type: "body", body: EMPTY_BODY };
  }
  if (length !== undefined && Number(length) > options.maxBytes) {
    return { type: "too-large" };
  }
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    let isSettled = false;
    const settle = (result: BodyResult) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timeout);
      incoming.off("data", onData);
      if (result.type !== "body") options.budget.release(size);
      resolve(result);
    };
    const timeout = setTimeout(settle, options.timeoutMs, { type: "too-slow" });
    const onData = (chunk: Uint8Array) => {
      if (size + chunk.length > options.maxBytes) {
        return settle({ type: "too-large" });
      }
      if (!options.budget.reserve(chunk.length)) {
        return settle({ type: "no-memory" });
      }
      size += chunk.length;
      chunks.push(chunk);
    };
    incoming.on("data", onData);
    incoming.on("end", () => {
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      settle({ type: "body", body });
    });
    incoming.on("close", () => settle({ type: "broken" }));
    incoming.on("error", () => settle({ type: "broken" }));
  });
}
