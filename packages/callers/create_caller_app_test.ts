import { afterEach, describe, expect, test } from "@jest/globals";
import { once } from "node:events";
import { type AddressInfo, connect } from "node:net";
import { PassThrough } from "node:stream";
import type { CallerOutcome } from "./caller_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";
import { createCallerApp } from "./create_caller_app.ts";
import { createCallerServer } from "./create_caller_server.ts";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

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
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return { seen, port: (server.address() as AddressInfo).port };
}

/** Sends raw bytes and returns all that comes back until the end. */
async function exchange(port: number, text: string): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  let answer = "";
  socket.on("data", (data) => answer += data.toString());
  socket.on("error", () => undefined);
  socket.write(text);
  await once(socket, "close");
  return answer;
}

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

function head(line: string, headers: string): string {
  return `${line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${headers}\r\n`;
}

describe("createCallerApp", () => {
  const rows: [string, string, number, string][] = [
    ["no token", head(`GET ${PATH}`, ""), 401, "unauthorized"],
    [
      "unknown token",
      head(`GET ${PATH}`, "Authorization: Bearer other\r\n"),
      401,
      "unauthorized",
    ],
    ["unknown path", head("GET /v1/other", AUTH), 404, "unknown-path"],
    ["operator call", head("POST /v1/changes", AUTH), 404, "unknown-path"],
    [
      "dot segment",
      head("GET /v1/services/orders/../quoting/a", AUTH),
      400,
      "malformed",
    ],
    [
      "encoded dot segment",
      head("GET /v1/services/orders/%2e%2E/a", AUTH),
      400,
      "malformed",
    ],
    ["method", head(`PATCH ${PATH}`, AUTH), 405, "method"],
    [
      "class",
      head(`GET ${PATH}`, `${AUTH}Request-Class: first\r\n`),
      400,
      "malformed",
    ],
    [
      "deadline",
      head(`GET ${PATH}`, `${AUTH}Request-Deadline-Ms: -1\r\n`),
      400,
      "malformed",
    ],
    [
      "two keys",
      head(
        `POST ${PATH}`,
        `${AUTH}Idempotency-Key: a\r\nIdempotency-Key: b\r\n`,
      ),
      400,
      "malformed",
    ],
    [
      "large body",
      `${head(`POST ${PATH}`, `${AUTH}Content-Length: 11\r\n`)}12345678901`,
      413,
      "too-large",
    ],
    [
      "large chunked body",
      `${head(`POST ${PATH}`, `${AUTH}Transfer-Encoding: chunked\r\n`)}` +
      "b\r\n12345678901\r\n0\r\n\r\n",
      413,
      "too-large",
    ],
    [
      "slow body",
      `${head(`POST ${PATH}`, `${AUTH}Content-Length: 3\r\n`)}1`,
      408,
      "too-slow",
    ],
    [
      "two lengths",
      `${
        head(
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
        head(
          `POST ${PATH}`,
          `${AUTH}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n`,
        )
      }1`,
      400,
      "",
    ],
    ["no HTTP", "hello\r\n\r\n", 400, ""],
  ];
  // Guards against a malformed or hostile request that changes any state.
  test.each(rows)("refuses: %s", async (...row) => {
    const [, text, status, reason] = row;
    const { seen, port } = await serve(answered);
    const answer = await exchange(port, text);
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    if (reason !== "") {
      expect(answer).toContain(`"outcome":"not-run","reason":"${reason}"`);
    }
    expect(seen).toEqual([]);
  });

  // Guards against a token, a forged identity or a header of the connection
  // that reaches an executor, and against a changed answer.
  test("passes a request and its answer on", async () => {
    const { seen, port } = await serve(answered);
    const headers = `${AUTH}Content-Length: 2\r\nX-Caller: forged\r\n` +
      "X-Hop: 1\r\nX-Kept: 2\r\nIdempotency-Key: k\r\n" +
      "Request-Class: urgent\r\nRequest-Deadline-Ms: 70\r\n";
    const text = head(`POST ${PATH}`, headers)
      .replace("Connection: close", "Connection: close, X-Hop");
    const answer = await exchange(port, `${text}hi`);
    expect(answer).toMatch(/^HTTP\/1.1 201 /);
    expect(answer).toContain("x-kept: 1\r\ncontent-length: 3\r\n");
    expect(answer.endsWith("\r\n\r\nabc")).toBe(true);
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

  // Guards against bodies of waiting requests that take unbounded memory, and
  // against memory that is not given back.
  test("refuses bodies beyond the memory for them", async () => {
    const held: (() => void)[] = [];
    const { port } = await serve(async () => {
      await new Promise<void>((resolve) => held.push(resolve));
      return await answered();
    });
    const text = head(`POST ${PATH}`, `${AUTH}Content-Length: 8\r\n`);
    const first = exchange(port, `${text}12345678`);
    while (held.length === 0) await new Promise((go) => setTimeout(go, 5));
    const second = await exchange(port, `${text}12345678`);
    expect(second).toMatch(/^HTTP\/1.1 503 /);
    held[0]!();
    expect(await first).toMatch(/^HTTP\/1.1 201 /);
    const third = exchange(port, `${text}12345678`);
    while (held.length === 1) await new Promise((go) => setTimeout(go, 5));
    held[1]!();
    expect(await third).toMatch(/^HTTP\/1.1 201 /);
  });

  // Guards against a cut answer that the caller takes for a whole one.
  test.each([true, false])("streams, cut: %s", async (isCut) => {
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
    setTimeout(() => isCut ? stream.destroy() : stream.end("def"), 20);
    const answer = await exchange(port, head(`GET ${PATH}`, AUTH));
    expect(answer).toContain("content-length: 6\r\n");
    expect(answer.endsWith("abcdef")).toBe(!isCut);
  });

  // Guards against probes that need a token or do not follow the state.
  test.each([
    ["/livez", 200, "ok"],
    ["/readyz", 503, "unavailable"],
    ["/metrics", 200, "metric 1"],
  ])("%s", async (path, status, text) => {
    const { port } = await serve(answered);
    const answer = await exchange(port, head(`GET ${path}`, ""));
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(answer).toContain(text);
  });
});
