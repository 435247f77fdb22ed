/**
 * Reading of request bodies within limits of size, time and memory.
 *
 * @module
 */

import type { MemoryBudget } from "@lagoonloom/endpoints";
import type { IncomingMessage } from "node:http";
import { createBodyBuffer, createSegmentPool } from "./limits/body_buffer.ts";
import { createChunkCollection } from "./limits/chunk_collection.ts";
import type { ChunkPace } from "./limits/chunk_pace.ts";

const EMPTY_BODY = new Uint8Array(0);

/**
 * How many times its limit is read of a body that is too large, so that its
 * sender gets the answer instead of a reset.
 */
const MAX_DISCARDED_BODIES = 4;

const pool = createSegmentPool();

const copiedChunks = createChunkCollection();

/** Body of a request, or the reason why it was not read. */
export type BodyResult =
  | { type: "body"; body: Uint8Array }
  | { type: "too-large" | "too-slow" | "broken" | "no-memory" };

/** Memory that a body holds while it is read. */
export type BodyMemory = {
  /** Sets the bytes that the body costs; returns false if it is refused. */
  hold(bytes: number): boolean;
  /** Takes a function that refuses the body before its end. */
  onRefuse?(refuse: () => void): void;
  /** Called once the body has been read or given up. */
  end(result: BodyResult): void;
};

/** Limits on the reading of a body. */
export type BodyOptions = {
  maxBytes: number;
  /** Time for the whole body, or between its parts if `isIdleTimeout`. */
  timeoutMs: number;
  isIdleTimeout?: boolean;
  memory: BodyMemory;
  /** Limits how many very small chunks are read; no limit without it. */
  pace?: ChunkPace;
};

/**
 * Returns the memory of a body in a budget. Its bytes stay reserved after a
 * result of type `body`; the caller of this function has to release them.
 */
export function reserveBody(budget: MemoryBudget): BodyMemory {
  let heldBytes = 0;
  return {
    hold(bytes) {
      if (!budget.reserve(bytes - heldBytes)) return false;
      heldBytes = bytes;
      return true;
    },
    end(result) {
      // A body that arrived may be shorter than its buffer.
      const keptBytes = result.type === "body" ? result.body.length : 0;
      budget.release(heldBytes - keptBytes);
    },
  };
}

/** Reads a body, limited in size, time and memory. */
export function readBody(
  incoming: IncomingMessage,
  options: BodyOptions,
): Promise<BodyResult> | BodyResult {
  const length = incoming.headers["content-length"];
  const isChunked = incoming.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (length === undefined || length === "0")) {
    const result: BodyResult = { type: "body", body: EMPTY_BODY };
    options.memory.end(result);
    return result;
  }
  if (length !== undefined && Number(length) > options.maxBytes) {
    const result: BodyResult = { type: "too-large" };
    options.memory.end(result);
    discardRest(incoming, options.maxBytes);
    return result;
  }
  return new Promise((resolve) => {
    const { memory, pace } = options;
    const buffer = createBodyBuffer(pool);
    let chunkCount = 0;
    let isSettled = false;
    const settle = (result: BodyResult) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timeout);
      incoming.off("data", onData);
      buffer.drop();
      memory.end(result);
      resolve(result);
    };
    const handleTimeout = () => {
      const countBefore = chunkCount;
      // A part that arrived while the process was busy is read by then.
      setImmediate(() => {
        const isProgressing = options.isIdleTimeout === true &&
          chunkCount > countBefore;
        if (isProgressing) timeout.refresh();
        else settle({ type: "too-slow" });
      });
    };
    const timeout = setTimeout(handleTimeout, options.timeoutMs);
    const onData = (chunk: Uint8Array) => {
      chunkCount++;
      const size = buffer.size() + chunk.length;
      if (size > options.maxBytes) {
        settle({ type: "too-large" });
        return discardRest(incoming, options.maxBytes);
      }
      const isRefused = !memory.hold(buffer.costAfter(chunk.length)) ||
        pace?.take(chunkCount, size) === false;
      if (isRefused) return settle({ type: "no-memory" });
      buffer.append(chunk);
      copiedChunks.count(chunk.length);
      if (options.isIdleTimeout === true) timeout.refresh();
    };
    memory.onRefuse?.(() => settle({ type: "no-memory" }));
    incoming.on("data", onData);
    incoming.on("end", () => settle({ type: "body", body: buffer.finish() }));
    incoming.on("close", () => settle({ type: "broken" }));
    incoming.on("error", () => settle({ type: "broken" }));
  });
}

/** Reads on for a while so that the sender gets to the answer. */
function discardRest(incoming: IncomingMessage, maxBytes: number): void {
  let discardedBytes = 0;
  incoming.on("data", (chunk: Uint8Array) => {
    discardedBytes += chunk.length;
    copiedChunks.count(chunk.length);
    if (discardedBytes > MAX_DISCARDED_BODIES * maxBytes) incoming.destroy();
  });
}
