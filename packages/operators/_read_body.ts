/**
 * Reading of request bodies with a size limit and a timeout.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Options for {@linkcode readBody}. */
export type ReadBodyOptions = { maxBytes: number; timeoutMs: number };

/** Body of a request, or the reason why it was not read. */
export type Body =
  | { type: "complete"; bytes: Buffer }
  | { type: "too-large" }
  | { type: "too-slow" }
  | { type: "aborted" };

/** Reads a whole body; gives up on one that is too large or too slow. */
export function readBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs }: ReadBodyOptions,
): Promise<Body> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (body: Body) => {
      clearTimeout(timer);
      request.off("data", onData);
      // The rest is discarded, so that the sender can read the response.
      request.resume();
      resolve(body);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) finish({ type: "too-large" });
      else chunks.push(chunk);
    };
    const timer = setTimeout(() => finish({ type: "too-slow" }), timeoutMs);
    request.on("data", onData);
    request.once(
      "end",
      () => finish({ type: "complete", bytes: Buffer.concat(chunks) }),
    );
    request.once("error", () => finish({ type: "aborted" }));
    request.once("close", () => finish({ type: "aborted" }));
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > maxBytes) finish({ type: "too-large" });
  });
}
