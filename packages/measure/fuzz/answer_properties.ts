/**
 * Fuzz properties of the clients of the platform, workers and executors.
 *
 * @module
 */

import {
  createExecutorClient,
  createMemoryBudget,
} from "@lagoonloom/endpoints";
import { createPlatformClient } from "@lagoonloom/platform";
import { createWorkerClient } from "@lagoonloom/workers";
import fc from "fast-check";
import { createServer } from "node:net";
import type { FuzzProperty } from "./fuzz_property.ts";
import { mutatedValues } from "./mutated_input.ts";
import { listenOnLoopback } from "./raw_exchange.ts";

const PAGE = {
  records: [{ offset: 0, timeMs: 1, id: "a", body: {} }],
  nextOffset: 1,
  oldestOffset: 0,
  retentionMs: 1_000,
};
const HOSTS = { hosts: [{ host: "quoting-1", state: "live", timeMs: 1 }] };

const platformAnswer = fc.record({
  status: fc.constantFrom(200, 201, 204, 302, 404, 500, 503),
  value: fc.oneof(
    mutatedValues({ offset: 0, timeMs: 1 }),
    mutatedValues(PAGE),
    mutatedValues(HOSTS),
    fc.jsonValue(),
  ),
  /** How the response is framed; see {@linkcode Framing}. */
  framing: fc.constantFrom<Framing>(
    "complete",
    "complete",
    "short",
    "truncated",
    "invalid",
    "none",
  ),
});

const REPORT = {
  clockMs: 1,
  takenAtMs: 1,
  tasks: [{
    job: "j1",
    attempt: 1,
    state: "running",
    used: { cores: 1, memory_gb: 1, accelerators: 0 },
    startedAtMs: 1,
  }],
};

const workerAnswer = fc.record({
  status: fc.constantFrom(200, 201, 302, 404, 500),
  value: fc.oneof(
    mutatedValues(REPORT),
    mutatedValues({ state: "stopped" }),
    fc.jsonValue(),
  ),
  framing: fc.constantFrom<Framing>(
    "complete",
    "complete",
    "short",
    "truncated",
    "invalid",
  ),
});

/**
 * Framing of a response: complete, with a body shorter than its Content-Length,
 * cut off within the status line, without a valid head, or empty.
 */
type Framing = "complete" | "short" | "truncated" | "invalid" | "none";

function createResponseText(
  head: string,
  { body, framing }: { body: string; framing: Framing },
): string {
  const length = Buffer.byteLength(body);
  switch (framing) {
    case "complete":
      return `${head}Content-Length: ${length}\r\n\r\n${body}`;
    case "short":
      return `${head}Content-Length: ${length + 9}\r\n\r\n${body}`;
    case "truncated":
      return head.slice(0, 14);
    case "invalid":
      return `\0\r\n\r\n${body}`;
    case "none":
      return "";
  }
}

/** Serves one response on each connection and then closes it. */
async function serveAnswers(answer: (request: string) => string) {
  return await listenOnLoopback(createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", (data) => socket.end(answer(data.toString("latin1"))));
  }));
}

/** Properties of the clients of external systems. */
export const ANSWER_PROPERTIES: readonly FuzzProperty[] = [
  {
    // An append counts as stored, or refused, only after a complete and valid
    // response; no call throws.
    name: "platform-answers",
    async check(run) {
      let text = "";
      const server = await serveAnswers(() => text);
      const address = `127.0.0.1:${server.port}`;
      const client = createPlatformClient(address, { timeoutMs: 2_000 });
      const property = fc.asyncProperty(platformAnswer, async (generated) => {
        const { status, framing } = generated;
        const head = `HTTP/1.1 ${status} A\r\nConnection: close\r\n`;
        text = createResponseText(head, {
          body: JSON.stringify(generated.value),
          framing,
        });
        const stream = "control";
        const appended = await client.append({ stream, id: "a", body: {} });
        const read = await client.read({
          stream,
          from: 0,
          limit: 1,
          waitMs: 0,
        });
        const hosts = await client.readHosts();
        const isComplete = framing === "complete";
        const mayBeStored = isComplete && (status === 200 || status === 201);
        const isRefusal = isComplete && (status === 404 || status === 503);
        const types = [appended.type, read.type, hosts.type].join(" ");
        if (
          (appended.type === "appended" && !mayBeStored) ||
          (appended.type === "refused" && !isRefusal) ||
          (read.type !== "unreachable" && !(isComplete && status === 200)) ||
          (hosts.type === "read" && !(isComplete && status === 200))
        ) throw new Error(`The client accepted a broken response: ${types}.`);
      });
      await fc.assert(property, run).finally(() => {
        client.close();
        return server.close();
      });
    },
  },
  {
    // A call counts as carried out, or refused, only after a complete response.
    name: "worker-answers",
    async check(run) {
      let text = "";
      const server = await serveAnswers(() => text);
      const address = `127.0.0.1:${server.port}`;
      const client = createWorkerClient({ timeoutMs: 2_000 });
      const property = fc.asyncProperty(workerAnswer, async (generated) => {
        const { status, framing } = generated;
        const head = `HTTP/1.1 ${status} A\r\nConnection: close\r\n`;
        text = createResponseText(head, {
          body: JSON.stringify(generated.value),
          framing,
        });
        const task = { worker: "w1", job: "j/1", attempt: 1, epoch: 1 };
        const stopped = await client.call(address, { type: "stop", ...task });
        const report = await client.call(address, {
          type: "report",
          worker: "w1",
        });
        const isOk = framing === "complete" && status < 300;
        const isRefusal = framing === "complete" && status === 404;
        for (const { type } of [stopped, report]) {
          const isDone = type === "done" || type === "report";
          if ((isDone && !isOk) || (type === "refused" && !isRefusal)) {
            throw new Error(`The client accepted a broken response: ${type}.`);
          }
        }
      });
      await fc.assert(property, run).finally(() => {
        client.close();
        return server.close();
      });
    },
  },
  {
    // Only a complete response with the request's own id reaches a caller, and
    // a sent request counts as not run only if the executor says so.
    name: "executor-answers",
    async check(run) {
      let generated: ExecutorAnswer = { ...FIRST_ANSWER };
      const server = await serveAnswers((request) => {
        const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? "";
        return createExecutorResponse(generated, id);
      });
      const budget = createMemoryBudget(1_000_000);
      const client = createExecutorClient({ maxConnections: 4, budget });
      const property = fc.asyncProperty(executorAnswer, async (next) => {
        generated = next;
        const result = await client.exchange({
          id: "r1",
          address: `127.0.0.1:${server.port}`,
          method: "POST",
          path: "/v1/services/orders/a",
          headers: {},
          body: Buffer.from("x"),
          remainingMs: 2_000,
          mayReuseConnection: false,
          maySend: () => true,
        });
        checkExecutorResult(next, result);
        if (result.type === "answered") result.release();
        if (result.type === "streamed") result.stream.destroy();
      });
      await fc.assert(property, run).finally(() => {
        client.close();
        return server.close();
      });
    },
  },
];

const executorAnswer = fc.record({
  status: fc.constantFrom("200", "500", "503", "99", "2x0"),
  echo: fc.constantFrom("own", "own", "other", "none", "twice"),
  isNotRun: fc.boolean(),
  framing: fc.constantFrom<Framing>(
    "complete",
    "complete",
    "short",
    "truncated",
    "invalid",
  ),
  body: fc.string({ maxLength: 50 }),
});

type ExecutorAnswer = {
  status: string;
  echo: string;
  isNotRun: boolean;
  framing: Framing;
  body: string;
};

const FIRST_ANSWER: ExecutorAnswer = {
  status: "200",
  echo: "own",
  isNotRun: false,
  framing: "complete",
  body: "",
};

function createExecutorResponse(answer: ExecutorAnswer, id: string): string {
  const { status, echo, isNotRun, framing, body } = answer;
  const own = `X-Request-Id: ${id}\r\n`;
  const other = `X-Request-Id: ${id}0\r\n`;
  const echoes: Record<string, string> = {
    own,
    other,
    twice: own + other,
    none: "",
  };
  const head = `HTTP/1.1 ${status} A\r\n${echoes[echo] ?? ""}` +
    (isNotRun ? "X-Not-Run: true\r\n" : "");
  return createResponseText(head, { body, framing });
}

type Result = Awaited<
  ReturnType<ReturnType<typeof createExecutorClient>["exchange"]>
>;

function checkExecutorResult(answer: ExecutorAnswer, result: Result): void {
  const { status, echo, isNotRun, framing, body } = answer;
  const isOwn = /^[1-5]\d\d$/.test(status) && echo === "own";
  const isComplete = isOwn && framing === "complete";
  if (result.type === "failed") {
    // The head suffices to report that a request was not run, even if the body
    // is incomplete.
    const hasHead = isOwn && (framing === "complete" || framing === "short");
    const isReported = hasHead && isNotRun && Number(status) >= 400;
    if (result.notRun && !isReported) {
      throw new Error("A request counts as not run without X-Not-Run.");
    }
    return;
  }
  const text = result.type === "answered"
    ? Buffer.from(result.body).toString()
    : "";
  if (!isComplete || text !== Buffer.from(body).toString()) {
    throw new Error(
      "A broken response or one of another request was passed on.",
    );
  }
}
