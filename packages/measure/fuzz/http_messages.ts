/**
 * Generates pipelined HTTP requests, among them attempts of request smuggling.
 *
 * @module
 */

import fc from "fast-check";

/** HTTP request of a pipeline, possibly malformed. */
export type Message = {
  text: string;
  /** Whether a server may handle it. */
  isValid: boolean;
  /** Whether it is too short, so that it would consume the bytes after it. */
  isIncomplete?: boolean;
};

/** Options of {@linkcode pipelines}. */
export type PipelineOptions = {
  method: string;
  path: string;
  token: string;
  body: string;
};

/** Creates a request that a lenient parser finds in the body of another one. */
function smuggledRequest({ method, token }: PipelineOptions): string {
  return `${method} /v1/services/orders/hidden HTTP/1.1\r\nHost: a\r\n` +
    `Authorization: Bearer ${token}\r\nContent-Length: 0\r\n\r\n`;
}

function listMessages(options: PipelineOptions): Message[] {
  const { method, path, token, body } = options;
  const line = `${method} ${path} HTTP/1.1`;
  const common = `Host: a\r\nContent-Type: application/json\r\n` +
    `Authorization: Bearer ${token}\r\n`;
  const length = `Content-Length: ${body.length}\r\n`;
  const chunked = "Transfer-Encoding: chunked\r\n";
  const size = body.length.toString(16);
  const chunks = `${size}\r\n${body}\r\n0\r\n\r\n`;
  const smuggled = smuggledRequest(options);
  const head = (fields: string) => `${line}\r\n${common}${fields}\r\n`;
  const valid = [
    head(length) + body,
    head(chunked) + chunks,
    // Node's parser accepts these; the first of two repeated headers counts.
    `${method}  ${path} HTTP/1.1\r\n${common}${length}\r\n${body}`,
    `${line}\r\n${common}${common}${length}\r\n${body}`,
  ];
  const smuggledLength = `Content-Length: ${smuggled.length}\r\n`;
  const broken = [
    head(length + chunked) + chunks + smuggled,
    head(chunked + length) + chunks + smuggled,
    head(length + "Content-Length: 0\r\n") + body + smuggled,
    head("Content-Length: 0\r\n" + length) + smuggled,
    head(`Content-Length: -1\r\n`) + smuggled,
    head(`Content-Length: +${body.length}\r\n`) + body,
    head(`Content-Length: ${body.length},0\r\n`) + body,
    head(`Content-Length: 0x${size}\r\n`) + body,
    head("Transfer-Encoding: chunked, identity\r\n") + chunks + smuggled,
    head("Transfer-Encoding: xchunked\r\n") + chunks + smuggled,
    head(chunked) + `${size}x\r\n${body}\r\n0\r\n\r\n`,
    head(chunked) + `ffffffffffffffffff\r\n${body}`,
    head(chunked) + `-1\r\n${body}\r\n0\r\n\r\n`,
    head(chunked) + `${size}\n${body}\r\n0\r\n\r\n`,
    head(`X-Large: ${"a".repeat(20_000)}\r\n`),
    head("X-Many: 1\r\n".repeat(3_000)),
    head("Bad Name: 1\r\n") + smuggled,
    head("X-Zero: a\0b\r\n") + smuggled,
    head(`X-Split: a\rb\r\n${length}`) + body,
    head(" Folded: 1\r\n") + smuggled,
    `${method} ${path} HTTP/9.9\r\n${common}\r\n`,
    `${method} ${path}\r\n\r\n`,
    `${method.toLowerCase()} ${path} HTTP/1.1\r\n${common}\r\n`,
    `${line}\r\nAuthorization: Bearer x\r\n${common}${length}\r\n${body}`,
    `${line}\r\n${length}Host: a\r\n\r\n${body}`,
    `${line}\r\n${smuggledLength}Host: a\r\n\r\n${smuggled}`,
    `${line}\r\nHost: a\r\nAuthorization: Bearer other\r\n\r\n`,
    `${method} ${path}/../x HTTP/1.1\r\n${common}${length}\r\n${body}`,
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
  ];
  const incomplete = [
    head(`Content-Length: ${body.length + 5}\r\n`) + body,
    head(chunked) + `${size}\r\n${body}`,
    `${line}\r\n${common}`,
  ];
  return [
    ...valid.map((text) => ({ text, isValid: true })),
    ...broken.map((text) => ({ text, isValid: false })),
    ...incomplete.map((text) => ({ text, isValid: false, isIncomplete: true })),
  ];
}

/** Pipeline and the byte positions at which it is split into packets. */
export type Pipeline = { messages: Message[]; splitPoints: number[] };

/**
 * Generates pipelines of valid, ambiguous and malformed requests.
 *
 * @example
 * ```ts
 * const generated = pipelines({ method: "POST", path, token, body });
 * ```
 */
export function pipelines(options: PipelineOptions): fc.Arbitrary<Pipeline> {
  const noise = fc.string({ unit: "binary", minLength: 1, maxLength: 40 })
    .map((text) => ({ text, isValid: false }));
  const message = fc.oneof(
    { weight: 12, arbitrary: fc.constantFrom(...listMessages(options)) },
    { weight: 1, arbitrary: noise },
  );
  return fc.record({
    messages: fc.array(message, { minLength: 1, maxLength: 4 }).map(
      endAtIncomplete,
    ),
    splitPoints: fc.array(fc.nat(30_000), { maxLength: 4 }),
  });
}

function endAtIncomplete(messages: Message[]): Message[] {
  const index = messages.findIndex(({ isIncomplete }) => isIncomplete);
  return index < 0 ? messages : messages.slice(0, index + 1);
}
