/**
 * Stand-in of an executor, the HTTP server to which daemons forward requests.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import {
  listen,
  parseUrl,
  readBody,
  readJson,
  sendJson,
  type Standin,
  withErrorHandling,
} from "./_http.ts";

/** Schema of a fault that an executor shows for its next requests. */
export const ExecutorFault = z.strictObject({
  /**
   * What happens to a request: `fail` answers 500, `slow` takes longer,
   * `truncate` closes the connection within the body, `crossed` echoes the id
   * of the previous request, `twice` sends a second response, `reset` resets
   * the connection and `freeze` never answers.
   */
  kind: z.enum([
    "fail",
    "slow",
    "truncate",
    "crossed",
    "twice",
    "reset",
    "freeze",
  ]),
  /** Number of requests that the fault affects. */
  count: z.int().min(1),
  /** Additional run time in milliseconds for the fault `slow`. */
  slowMs: z.number().min(0).default(1_000),
});

/** Fault that an executor shows for its next requests. */
export type ExecutorFault = z.infer<typeof ExecutorFault>;

/** Counts of an executor since its start. */
export type ExecutorStats = {
  /** Requests that were run. */
  runs: number;
  /** Runs by the value of `Idempotency-Key`. */
  runsByKey: Record<string, number>;
  /** Maximum number of unanswered requests at a time. */
  maxConcurrent: number;
  reboots: number;
  /** Requests that reboots interrupted. */
  cutOff: number;
};

/** Running executor. */
export type ExecutorStandin = Standin & {
  stats: ExecutorStats;
  /** Replaces the fault; undefined ends it. */
  setFault(fault: z.input<typeof ExecutorFault> | undefined): void;
  /** Closes all connections and refuses new ones for a time in milliseconds. */
  reboot(downMs: number): Promise<void>;
};

/** Options of {@linkcode serveExecutor}. */
export type ExecutorOptions = {
  /** Name in the body of responses. */
  name: string;
  /** Maximum number of requests that run at a time; 8 by default. */
  slots?: number;
  /** Default run time in milliseconds of a request; 5 by default. */
  runMs?: number;
};

type Executor = {
  options: Required<ExecutorOptions>;
  stats: ExecutorStats;
  fault: ExecutorFault | undefined;
  /** Number of requests that wait or run. */
  unanswered: number;
  running: number;
  /** Resume requests that wait for a slot. */
  slotWaiters: (() => void)[];
  previousRequestId: string;
};

/**
 * Starts an executor over HTTP/1.1. The query parameter `run_ms` overrides the
 * run time of a request. The response repeats the request's body and echoes
 * `X-Request-Id`. `POST /faults` sets a fault, `GET /stats` returns counts.
 *
 * @example
 * ```ts
 * const executor = await serveExecutor("127.0.0.1:0", { name: "e1" });
 * executor.setFault({ kind: "truncate", count: 1 });
 * ```
 */
export async function serveExecutor(
  address: string,
  options: ExecutorOptions,
): Promise<ExecutorStandin> {
  const executor: Executor = {
    options: { slots: 8, runMs: 5, ...options },
    stats: {
      runs: 0,
      runsByKey: {},
      maxConcurrent: 0,
      reboots: 0,
      cutOff: 0,
    },
    fault: undefined,
    unanswered: 0,
    running: 0,
    slotWaiters: [],
    previousRequestId: "none",
  };
  const listener = withErrorHandling(async (request, response) => {
    const { pathname } = parseUrl(request);
    if (pathname === "/stats") return sendJson(response, 200, executor.stats);
    if (pathname === "/faults") {
      executor.fault = ExecutorFault.parse(await readJson(request));
      return sendJson(response, 200, executor.fault);
    }
    await run(executor, request, response);
  });
  let standin = await listen(listener, address);
  return {
    address: standin.address,
    close: () => standin.close(),
    stats: executor.stats,
    async reboot(downMs) {
      executor.stats.reboots++;
      executor.stats.cutOff += executor.unanswered;
      await standin.close();
      await sleep(downMs);
      standin = await listen(listener, standin.address);
    },
    setFault(fault) {
      executor.fault = fault && ExecutorFault.parse(fault);
    },
  };
}

async function run(
  executor: Executor,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const { stats } = executor;
  executor.unanswered++;
  stats.maxConcurrent = Math.max(stats.maxConcurrent, executor.unanswered);
  const body = await readBody(request);
  await acquireSlot(executor);
  stats.runs++;
  const key = request.headers["idempotency-key"];
  if (typeof key === "string") {
    stats.runsByKey[key] = (stats.runsByKey[key] ?? 0) + 1;
  }
  const fault = consumeFault(executor);
  const runMs = Number(
    parseUrl(request).searchParams.get("run_ms") ?? executor.options.runMs,
  );
  const executionMs = fault?.kind === "slow" ? runMs + fault.slowMs : runMs;
  // Stops at the deadline, as the caller does not wait any longer.
  const deadlineMs = Number(request.headers["request-deadline-ms"] ?? "NaN");
  await sleep(deadlineMs < executionMs ? deadlineMs : executionMs);
  releaseSlot(executor);
  sendAnswer(executor, { request, response, body, fault });
}

function sendAnswer(
  executor: Executor,
  exchange: {
    request: IncomingMessage;
    response: ServerResponse;
    body: Buffer;
    fault: ExecutorFault | undefined;
  },
): void {
  const { request, response, body, fault } = exchange;
  const requestId = String(request.headers["x-request-id"] ?? "");
  const echoedRequestId = fault?.kind === "crossed"
    ? executor.previousRequestId
    : requestId;
  executor.previousRequestId = requestId;
  const answerBody = JSON.stringify({
    executor: executor.options.name,
    requestId: echoedRequestId,
    method: request.method,
    path: request.url,
    body: body.toString("utf8"),
  });
  const headers = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(answerBody),
    "x-request-id": echoedRequestId,
  };
  switch (fault?.kind) {
    case "freeze":
      return;
    case "reset":
      return void request.socket.resetAndDestroy();
    case "fail":
      return sendJson(response, 500, { message: "The executor failed." });
    case "truncate":
      response.writeHead(200, headers);
      response.write(answerBody.slice(0, answerBody.length / 2));
      setTimeout(() => request.socket.destroy(), 1);
      return;
    case "twice":
      response.writeHead(200, headers);
      response.end(answerBody);
      request.socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: 5\r\n` +
          `x-request-id: ${requestId}\r\n\r\nagain`,
      );
      return;
    default:
      response.writeHead(200, headers);
      response.end(answerBody);
  }
}

function releaseSlot(executor: Executor): void {
  executor.unanswered--;
  executor.running--;
  executor.slotWaiters.shift()?.();
}

async function acquireSlot(executor: Executor): Promise<void> {
  while (executor.running >= executor.options.slots) {
    await new Promise<void>((resolve) => executor.slotWaiters.push(resolve));
  }
  executor.running++;
}

function consumeFault(executor: Executor): ExecutorFault | undefined {
  const { fault } = executor;
  if (fault === undefined) return undefined;
  fault.count--;
  if (fault.count <= 0) executor.fault = undefined;
  return fault;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
