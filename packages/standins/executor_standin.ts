import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import {
  listen,
  readBody,
  readJson,
  sendJson,
  type Standin,
  urlOf,
  withErrors,
} from "./_http.ts";

/** Fault that an executor shows for its next requests. */
export const ExecutorFault = z.strictObject({
  kind: z.enum([
    "fail",
    "slow",
    "truncate",
    "crossed",
    "twice",
    "reset",
    "freeze",
  ]),
  /** Number of further requests with the fault. */
  count: z.int().min(1),
  /** Additional run time in milliseconds of the fault `slow`. */
  slowMs: z.number().min(0).default(1_000),
});

/** Fault that an executor shows for its next requests. */
export type ExecutorFault = z.infer<typeof ExecutorFault>;

/** What an executor counted. */
export type ExecutorStats = {
  runs: number;
  /** Runs by the value of `Idempotency-Key`. */
  runsByKey: Record<string, number>;
  /** Largest number of requests that were present at once. */
  maxConcurrent: number;
  reboots: number;
  /** Requests that were in progress when the executor went down. */
  cutOff: number;
};

/** Executor with a number of slots. */
export type ExecutorStandin = Standin & {
  stats: ExecutorStats;
  setFault(fault: z.input<typeof ExecutorFault> | undefined): void;
  /** Refuses connections for a time, as a host does that restarts. */
  reboot(downMs: number): Promise<void>;
};

/** Options of {@linkcode serveExecutor}. */
export type ExecutorOptions = {
  name: string;
  /** Requests that run at once; others wait. */
  slots?: number;
  /** Run time of a request without `run_ms` in its query. */
  runMs?: number;
};

type Executor = {
  options: Required<ExecutorOptions>;
  stats: ExecutorStats;
  fault: ExecutorFault | undefined;
  present: number;
  running: number;
  waiting: (() => void)[];
  previousRequestId: string;
};

/**
 * Serves an executor over HTTP/1.1. The query parameter `run_ms` sets the run
 * time of a request; the answer repeats the request's body and echoes
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
    present: 0,
    running: 0,
    waiting: [],
    previousRequestId: "none",
  };
  const listener = withErrors(async (request, response) => {
    const { pathname } = urlOf(request);
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
      executor.stats.cutOff += executor.present;
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
  executor.present++;
  stats.maxConcurrent = Math.max(stats.maxConcurrent, executor.present);
  const body = await readBody(request);
  await takeSlot(executor);
  stats.runs++;
  const key = request.headers["idempotency-key"];
  if (typeof key === "string") {
    stats.runsByKey[key] = (stats.runsByKey[key] ?? 0) + 1;
  }
  const fault = takeFault(executor);
  const runMs = Number(
    urlOf(request).searchParams.get("run_ms") ?? executor.options.runMs,
  );
  const wantedMs = fault?.kind === "slow" ? runMs + fault.slowMs : runMs;
  // An executor gives up at the deadline, since nobody waits any longer.
  const deadlineMs = Number(request.headers["request-deadline-ms"] ?? "NaN");
  await sleep(deadlineMs < wantedMs ? deadlineMs : wantedMs);
  leave(executor);
  answer(executor, { request, response, body, fault });
}

function answer(
  executor: Executor,
  exchange: {
    request: IncomingMessage;
    response: ServerResponse;
    body: Buffer;
    fault: ExecutorFault | undefined;
  },
): void {
  const { request, response, body, fault } = exchange;
  const own = String(request.headers["x-request-id"] ?? "");
  const echoed = fault?.kind === "crossed" ? executor.previousRequestId : own;
  executor.previousRequestId = own;
  const answerBody = JSON.stringify({
    executor: executor.options.name,
    requestId: echoed,
    method: request.method,
    path: request.url,
    body: body.toString("utf8"),
  });
  const headers = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(answerBody),
    "x-request-id": echoed,
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
          `x-request-id: ${own}\r\n\r\nagain`,
      );
      return;
    default:
      response.writeHead(200, headers);
      response.end(answerBody);
  }
}

function leave(executor: Executor): void {
  executor.present--;
  executor.running--;
  executor.waiting.shift()?.();
}

async function takeSlot(executor: Executor): Promise<void> {
  while (executor.running >= executor.options.slots) {
    await new Promise<void>((resolve) => executor.waiting.push(resolve));
  }
  executor.running++;
}

function takeFault(executor: Executor): ExecutorFault | undefined {
  const { fault } = executor;
  if (fault === undefined) return undefined;
  fault.count--;
  if (fault.count <= 0) executor.fault = undefined;
  return fault;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
