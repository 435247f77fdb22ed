import fc from "fast-check";

/** Message of a pipeline. */
export type Message = {
  text: string;
  /** Whether a server may act on it. */
  isValid: boolean;
  /** Whether it ends early, so that it takes bytes of what follows it. */
  isCut?: boolean;
};

/** Options of {@linkcode pipelines}. */
export type PipelineOptions = {
  method: string;
  path: string;
  token: string;
  body: string;
};

/** Request that a lenient parser would find in the body of another one. */
function hiddenRequest({ method, token }: PipelineOptions): string {
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
  const hidden = hiddenRequest(options);
  const head = (fields: string) => `${line}\r\n${common}${fields}\r\n`;
  const valid = [
    head(length) + body,
    head(chunked) + chunks,
    // Node's parser takes these; the first of two keys counts.
    `${method}  ${path} HTTP/1.1\r\n${common}${length}\r\n${body}`,
    `${line}\r\n${common}${common}${length}\r\n${body}`,
  ];
  const hiddenBody = `Content-Length: ${hidden.length}\r\n`;
  const broken = [
    head(length + chunked) + chunks + hidden,
    head(chunked + length) + chunks + hidden,
    head(length + "Content-Length: 0\r\n") + body + hidden,
    head("Content-Length: 0\r\n" + length) + hidden,
    head(`Content-Length: -1\r\n`) + hidden,
    head(`Content-Length: +${body.length}\r\n`) + body,
    head(`Content-Length: ${body.length},0\r\n`) + body,
    head(`Content-Length: 0x${size}\r\n`) + body,
    head("Transfer-Encoding: chunked, identity\r\n") + chunks + hidden,
    head("Transfer-Encoding: xchunked\r\n") + chunks + hidden,
    head(chunked) + `${size}x\r\n${body}\r\n0\r\n\r\n`,
    head(chunked) + `ffffffffffffffffff\r\n${body}`,
    head(chunked) + `-1\r\n${body}\r\n0\r\n\r\n`,
    head(chunked) + `${size}\n${body}\r\n0\r\n\r\n`,
    head(`X-Large: ${"a".repeat(20_000)}\r\n`),
    head("X-Many: 1\r\n".repeat(3_000)),
    head("Bad Name: 1\r\n") + hidden,
    head("X-Zero: a\0b\r\n") + hidden,
    head(`X-Split: a\rb\r\n${length}`) + body,
    head(" Folded: 1\r\n") + hidden,
    `${method} ${path} HTTP/9.9\r\n${common}\r\n`,
    `${method} ${path}\r\n\r\n`,
    `${method.toLowerCase()} ${path} HTTP/1.1\r\n${common}\r\n`,
    `${line}\r\nAuthorization: Bearer x\r\n${common}${length}\r\n${body}`,
    `${line}\r\n${length}Host: a\r\n\r\n${body}`,
    `${line}\r\n${hiddenBody}Host: a\r\n\r\n${hidden}`,
    `${line}\r\nHost: a\r\nAuthorization: Bearer other\r\n\r\n`,
    `${method} ${path}/../x HTTP/1.1\r\n${common}${length}\r\n${body}`,
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
  ];
  const cut = [
    head(`Content-Length: ${body.length + 5}\r\n`) + body,
    head(chunked) + `${size}\r\n${body}`,
    `${line}\r\n${common}`,
  ];
  return [
    ...valid.map((text) => ({ text, isValid: true })),
    ...broken.map((text) => ({ text, isValid: false })),
    ...cut.map((text) => ({ text, isValid: false, isCut: true })),
  ];
}

/** Bytes of a pipeline and the places at which it is cut into pieces. */
export type Pipeline = { messages: Message[]; cuts: number[] };

/**
 * Generates pipelines of valid, ambiguous and broken requests.
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
    messages: fc.array(message, { minLength: 1, maxLength: 4 }).map(endAtCut),
    cuts: fc.array(fc.nat(30_000), { maxLength: 4 }),
  });
}

function endAtCut(messages: Message[]): Message[] {
  const index = messages.findIndex(({ isCut }) => isCut);
  return index < 0 ? messages : messages.slice(0, index + 1);
}
