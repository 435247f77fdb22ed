/**
 * Conversions of answers to and from the form of calls between entry hosts.
 *
 * @module
 */

import type { Readable } from "node:stream";
import type { ExecutorAnswer } from "./_routed_request.ts";
import type { WireAnswer, WireHeader } from "./forwarded.ts";

/** Largest answer that one entry host returns to another. */
const MAX_WIRE_ANSWER_BYTES = 8 * 1_048_576;

/** Converts headers to the form that calls between entry hosts use. */
export function toWireHeaders(headers: Record<string, string>): WireHeader[] {
  return Object.entries(headers).map(([name, value]) => ({ name, value }));
}

/** Converts an answer that another entry host returned. */
export function fromWireAnswer(answer: WireAnswer): ExecutorAnswer {
  const headers: Record<string, string> = {};
  for (const { name, value } of answer.headers) headers[name] = value;
  const { status, body } = answer;
  return { type: "answered", status, headers, body, release: () => undefined };
}

/**
 * Reads an answer to its end for another entry host. Returns undefined if the
 * stream broke or is larger than {@linkcode MAX_WIRE_ANSWER_BYTES}.
 */
export async function toWireAnswer(
  answer: ExecutorAnswer,
): Promise<WireAnswer | undefined> {
  const headers = toWireHeaders(answer.headers);
  if (answer.type === "answered") {
    // The buffer can be released: serialising the answer copies the body.
    answer.release();
    return { status: answer.status, headers, body: answer.body };
  }
  const body = await readAll(answer.stream);
  return body === undefined
    ? undefined
    : { status: answer.status, headers, body };
}

async function readAll(stream: Readable): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of stream as AsyncIterable<Uint8Array>) {
      size += chunk.length;
      if (size > MAX_WIRE_ANSWER_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return stream.readableEnded ? Buffer.concat(chunks) : undefined;
}
