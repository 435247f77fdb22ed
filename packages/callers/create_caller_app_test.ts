import { afterEach, describe, expect, test } from "@jest/globals";
import { once } from "node:events";
import { type AddressInfo, connect } from "node:net";
import { PassThrough } from "node:stream";
import type { CallerOutcome } from "./caller_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";
import { createCallerApp } from "./create_caller_app.ts";
import { createCallerServer } from "./create_caller_server.ts";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

async function serve(
  handle: (request: CallerRequest) => Promise<CallerOutcome>,
) {
  const seen: CallerRequest[] = [];
  const app = createCallerApp({
    teamsByToken: new Map([["token", "quoting"]]),
    maxBodyBytes: 10,
    bodyTimeoutMs: 50,
    maxTotalBodyBytes: 15,
    isLive: () => true,
    isReady: () => false,
    isStopping: () => false,
    metrics: () => Promise.resolve("metric 1\n"),
    handle(request) {
      seen.push(request);
      return handle(request);
    },
  });
  const server = createCallerServer(app).listen(0, "127.0.0.1");
  await once(server, "listening");
  cleanups.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return { seen, port: (server.address() as AddressInfo).port };
}

/** Sends raw bytes and returns what is received until the connection closes. */
async function sendRaw(
  port: number,
  text: string,
  { onData }: { onData?: (received: string) => void } = {},
): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  let received = "";
  socket.on("data", (data) => {
    received += data.toString();
    onData?.(received);
  });
  socket.on("error", () => undefined);
  socket.write(text);
  await once(socket, "close");
  return received;
}

/** Returns the outcome of a request that an executor answered. */
function answered(): Promise<CallerOutcome> {
  const body = Buffer.from("abc");
  const release = () => undefined;
  const headers = { "x-kept": "1" };
  return Promise.resolve({
    type: "answered",
    status: 201,
    headers,
    body,
    release,
  });
}

const PATH = "/v1/services/orders/a?b=1";
const AUTH = "Authorization: Bearer token\r\n";

function requestHead(line: string, headers: string): string {
  return `${line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${headers}\r\n`;
}

describe("createCallerApp", () => {
  const rows: [string, string, number, string][] = [
    ["no token", requestHead(`GET ${PATH}`, ""), 401, "unauthorized"],
    [
      "unknown token",
      requestHead(`GET ${PATH}`, "Authorization: Bearer other\r\n"),
      401,
      "unauthorized",
    ],
    ["unknown path", requestHead("GET /v1/other", AUTH), 404, "unknown-path"],
    [
      "operator call",
      requestHead("POST /v1/changes", AUTH),
      404,
      "unknown-path",
    ],
    [
      "dot segment",
      requestHead("GET /v1/services/orders/../quoting/a", AUTH),
      400,
      "malformed",
    ],
    [
      "encoded dot segment",
      requestHead("GET /v1/services/orders/%2e%2E/a", AUTH),
      400,
      "malformed",
    ],
    ["method", requestHead(`PATCH ${PATH}`, AUTH), 405, "method"],
    [
      "class",
      requestHead(`GET ${PATH}`, `${AUTH}Request-Class: first\r\n`),
      400,
      "malformed",
    ],
    [
      "deadline",
      requestHead(`GET ${PATH}`, `${AUTH}Request-Deadline-Ms: -1\r\n`),
      400,
      "malformed",
    ],
    [
      "two keys",
      requestHead(
        `POST ${PATH}`,
        `${AUTH}Idempotency-Key: a\r\nIdempotency-Key: b\r\n`,
      ),
      400,
      "malformed",
    ],
    [
      "large body",
      `${
        requestHead(`POST ${PATH}`, `${AUTH}Content-Length: 11\r\n`)
      }12345678901`,
      413,
      "too-large",
    ],
    [
      "large chunked body",
      `${
        requestHead(`POST ${PATH}`, `${AUTH}Transfer-Encoding: chunked\r\n`)
      }` +
      "b\r\n12345678901\r\n0\r\n\r\n",
      413,
      "too-large",
    ],
    [
      "slow body",
      `${requestHead(`POST ${PATH}`, `${AUTH}Content-Length: 3\r\n`)}1`,
      408,
      "too-slow",
    ],
    [
      "two lengths",
      `${
        requestHead(
          `POST ${PATH}`,
          `${AUTH}Content-Length: 1\r\nContent-Length: 2\r\n`,
        )
      }12`,
      400,
      "",
    ],
    [
      "length and chunked",
      `${
        requestHead(
          `POST ${PATH}`,
          `${AUTH}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n`,
        )
      }1`,
      400,
      "",
    ],
    ["no HTTP", "hello\r\n\r\n", 400, ""],
  ];
  // Guards against a malformed or hostile request that reaches the handler.
  test.each(rows)("refuses a request: %s", async (...row) => {
    const [, text, status, reason] = row;
    const { seen, port } = await serve(answered);
    const response = await sendRaw(port, text);
    expect(response).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    if (reason !== "") {
      expect(response).toContain(`"outcome":"not-run","reason":"${reason}"`);
    }
    expect(seen).toEqual([]);
  });

  // Guards against a token, a forged identity or a hop-by-hop header that is
  // forwarded to an executor, and against a changed response.
  test("forwards a request and its response", async () => {
    const { seen, port } = await serve(answered);
    const headers = `${AUTH}Content-Length: 2\r\nX-Caller: forged\r\n` +
      "X-Hop: 1\r\nX-Kept: 2\r\nIdempotency-Key: k\r\n" +
      "Request-Class: urgent\r\nRequest-Deadline-Ms: 70\r\n";
    const text = requestHead(`POST ${PATH}`, headers)
      .replace("Connection: close", "Connection: close, X-Hop");
    const response = await sendRaw(port, `${text}hi`);
    expect(response).toMatch(/^HTTP\/1.1 201 /);
    expect(response).toContain("x-kept: 1\r\ncontent-length: 3\r\n");
    expect(response.endsWith("\r\n\r\nabc")).toBe(true);
    expect(seen).toMatchObject([{
      service: "orders",
      method: "POST",
      path: PATH,
      urgency: "urgent",
      deadlineMs: 70,
      caller: "quoting",
      idempotencyKey: "k",
    }]);
    expect(seen[0]!.headers).toEqual({
      "x-caller": "quoting",
      "x-kept": "2",
      "idempotency-key": "k",
    });
  });

  // Guards against unbounded memory for request bodies, and against
  // reserved memory that is never released.
  test("refuses bodies that exceed the memory budget", async () => {
    const held: (() => void)[] = [];
    const { port } = await serve(async () => {
      await new Promise<void>((resolve) => held.push(resolve));
      return await answered();
    });
    const text = requestHead(`POST ${PATH}`, `${AUTH}Content-Length: 8\r\n`);
    const first = sendRaw(port, `${text}12345678`);
    while (held.length === 0) await new Promise((go) => setTimeout(go, 5));
    const second = await sendRaw(port, `${text}12345678`);
    expect(second).toMatch(/^HTTP\/1.1 503 /);
    held[0]!();
    expect(await first).toMatch(/^HTTP\/1.1 201 /);
    const third = sendRaw(port, `${text}12345678`);
    while (held.length === 1) await new Promise((go) => setTimeout(go, 5));
    held[1]!();
    expect(await third).toMatch(/^HTTP\/1.1 201 /);
  });

  // Guards against a truncated response that the caller takes for a whole one.
  test.each([true, false])(
    "streams a response, truncated: %s",
    async (isTruncated) => {
      const stream = new PassThrough();
      const { port } = await serve(() =>
        Promise.resolve({
          type: "streamed",
          status: 200,
          headers: {},
          length: 6,
          stream,
        })
      );
      stream.write("abc");
      const response = await sendRaw(port, requestHead(`GET ${PATH}`, AUTH), {
        onData(received) {
          if (!received.endsWith("abc")) return;
          if (isTruncated) stream.destroy();
          else stream.end("def");
        },
      });
      expect(response).toContain("content-length: 6\r\n");
      expect(response.endsWith("abcdef")).toBe(!isTruncated);
    },
  );

  // Guards against probes that need a token or report the wrong state.
  test.each([
    ["/livez", 200, "ok"],
    ["/readyz", 503, "unavailable"],
    ["/metrics", 200, "metric 1"],
  ])("serves %s without a token", async (path, status, text) => {
    const { port } = await serve(answered);
    const response = await sendRaw(port, requestHead(`GET ${path}`, ""));
    expect(response).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(response).toContain(text);
  });
});
