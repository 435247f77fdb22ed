import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { Agent, request } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { readBody } from "../read_body.ts";
import type { ClientGuard, Refusal } from "./client_guard.ts";
import { deriveClientLimits } from "./client_limits.ts";
import { createGuardedServer, type GuardedServer } from "./guarded_server.ts";

const MB = 1_024 * 1_024;
const MAX_BODY_BYTES = 262_144;

/** Limits of the smallest machine. */
const LIMITS = deriveClientLimits({
  memoryBytes: 250 * MB,
  heapBytes: 160 * MB,
  sockets: 3_900,
});

describe("createGuardedServer()", () => {
  let guarded: GuardedServer;
  let refusals: Refusal[];
  let agent: Agent;
  let sockets: Socket[];

  /** Serves requests with a body's size, or with 503 if it is refused. */
  async function listen(
    limits: typeof LIMITS,
    answer: (guard: ClientGuard) => Promise<void> = () => Promise.resolve(),
  ): Promise<void> {
    guarded = createGuardedServer((guard) => async (incoming, response) => {
      const result = await readBody(incoming, {
        maxBytes: MAX_BODY_BYTES,
        timeoutMs: 15_000,
        isIdleTimeout: true,
        memory: guard.beginBody(incoming),
      });
      await answer(guard);
      const isRead = result.type === "body";
      response.writeHead(isRead ? 200 : 503, { Connection: "keep-alive" });
      response.end(isRead ? String(result.body.length) : result.type);
    }, {
      limits,
      onRefused: (refusal) => refusals.push(refusal),
      bounds: () => ({
        maxHeaderBytes: 16_384,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      }),
    });
    const { server } = guarded;
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
  }

  const port = () => (guarded.server.address() as AddressInfo).port;

  function send(method: string, body?: Buffer): Promise<string> {
    return new Promise((resolve, reject) => {
      const options = { agent, port: port(), host: "127.0.0.1", method };
      const sent = request(options, (response) => {
        let text = "";
        response.on("data", (data) => text += String(data));
        response.on("end", () => resolve(`${response.statusCode} ${text}`));
      });
      sent.on("error", reject);
      sent.end(body);
    });
  }

  /** Opens a connection and collects what it receives until it is closed. */
  function open(): { socket: Socket; received: () => string } {
    const socket = connect(port(), "127.0.0.1");
    sockets.push(socket);
    let text = "";
    socket.on("data", (data) => text += String(data));
    socket.on("error", () => undefined);
    return { socket, received: () => text };
  }

  async function waitFor(isReached: () => boolean): Promise<void> {
    while (!isReached()) await new Promise((resolve) => setTimeout(resolve, 5));
  }

  beforeEach(() => {
    refusals = [];
    sockets = [];
    agent = new Agent({ keepAlive: true, maxSockets: 300 });
  });

  afterEach(async () => {
    agent.destroy();
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => guarded.server.close(resolve));
  });

  // Guards against limits that callers meet who keep to them: hundreds at once,
  // the largest bodies, requests ahead and a body that arrives bit by bit.
  test("refuses nobody on a calm day", async () => {
    await listen(LIMITS);
    const slow = open();
    slow.socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n",
    );
    const ahead = open();
    ahead.socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(60));
    for (let round = 0; round < 20; round++) {
      slow.socket.write("x");
      const burst = Array.from({ length: 300 }, () => send("GET"));
      const body = Buffer.alloc(round % 5 === 0 ? MAX_BODY_BYTES : 4_000);
      const posts = Array.from({ length: 40 }, () => send("POST", body));
      expect(new Set(await Promise.all(burst))).toEqual(new Set(["200 0"]));
      expect(new Set(await Promise.all(posts)))
        .toEqual(new Set([`200 ${body.length}`]));
    }
    await waitFor(() => slow.received().includes("\r\n20\r\n"));
    await waitFor(() => ahead.received().split(" 200 OK").length === 61);
    expect(refusals).toEqual([]);
    agent.destroy();
    for (const { socket } of [slow, ahead]) socket.destroy();
    await waitFor(() => guarded.guard.usage().connections === 0);
    expect(guarded.guard.usage())
      .toEqual({ connections: 0, requests: 0, bytes: 0 });
  });

  // Guards against a body that is refused although it may have been handled, or
  // without the answer that nothing has run.
  test("answers a refused body with 503 for another one", async () => {
    await listen({ ...LIMITS, maxBytes: 400_000 });
    const stopped = open();
    stopped.socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n",
    );
    stopped.socket.write(Buffer.alloc(262_000));
    await waitFor(() => guarded.guard.usage().bytes > 262_000);
    expect(await send("POST", Buffer.alloc(200_000))).toBe("200 200000");
    await waitFor(() => stopped.received().includes("503"));
    expect(refusals).toEqual(["crowded"]);
  });

  // Guards against an answer of 503 to a request that was handed on.
  test("closes a connection without an answer if a request runs", async () => {
    let finish: () => void = () => undefined;
    const isFinished = new Promise<void>((resolve) => finish = resolve);
    await listen({ ...LIMITS, maxRequestsAhead: 20 }, () => isFinished);
    const greedy = open();
    greedy.socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2_000));
    await new Promise((resolve) => greedy.socket.on("close", resolve));
    expect(greedy.received()).toBe("");
    expect(refusals).toEqual(["ahead", "ahead"]);
    expect(guarded.guard.usage().requests).toBe(20);
    finish();
    await waitFor(() => guarded.guard.usage().requests === 0);
  });

  // Guards against a process that runs out of memory for the requests of a
  // connection that is refused already.
  test.each([
    ["GET / HTTP/1.1\r\n\r\n", 10],
    ["GET / HTTP/1.1\r\nHost: a\r\n\r\n", 29],
  ])("parses no further requests of a refused client", async (text, most) => {
    await listen(
      { ...LIMITS, maxRequestsAhead: 20 },
      () => new Promise(() => undefined),
    );
    let parsed = 0;
    guarded.server.on("request", () => parsed++);
    const greedy = open();
    greedy.socket.write(text.repeat(2_000));
    await new Promise((resolve) => greedy.socket.on("close", resolve));
    expect(parsed).toBeGreaterThan(0);
    expect(parsed).toBeLessThanOrEqual(most);
  });

  // Guards against reading on while the answers of a client wait.
  test("answers all requests ahead of one connection in order", async () => {
    await listen({ ...LIMITS, pauseRequests: 2 });
    const ahead = open();
    for (let index = 0; index < 40; index++) {
      const body = "b".repeat(index + 1);
      ahead.socket.write(
        `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
    }
    await waitFor(() => ahead.received().split(" 200 OK").length === 41);
    const bodies = [...ahead.received().matchAll(/\r\n\r\n\w+\r\n(\d+)\r\n/g)];
    expect(bodies.map(([, size]) => Number(size)))
      .toEqual(Array.from({ length: 40 }, (_, index) => index + 1));
    expect(refusals).toEqual([]);
  });
});
