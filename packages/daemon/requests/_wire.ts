import type { Readable } from "node:stream";
import type { OrderAnswer } from "./_order.ts";
import type { WireAnswer, WireHeader } from "./forwarded.ts";

/** Largest answer that travels between entry hosts. */
const MAX_WIRE_BYTES = 8 * 1_048_576;

/** Converts headers to the form of the peer calls. */
export function toWireHeaders(headers: Record<string, string>): WireHeader[] {
  return Object.entries(headers).map(([name, value]) => ({ name, value }));
}

/** Converts an answer of a peer call. */
export function fromWireAnswer(answer: WireAnswer): OrderAnswer {
  const headers: Record<string, string> = {};
  for (const { name, value } of answer.headers) headers[name] = value;
  const { status, body } = answer;
  return { type: "answered", status, headers, body, release: () => undefined };
}

/** Reads an answer whole; undefined if it broke or is too large. */
export async function toWireAnswer(
  answer: OrderAnswer,
): Promise<WireAnswer | undefined> {
  const headers = toWireHeaders(answer.headers);
  if (answer.type === "answered") {
    // The peer call copies the body when it serializes the answer.
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
      if (size > MAX_WIRE_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return stream.readableEnded ? Buffer.concat(chunks) : undefined;
}
