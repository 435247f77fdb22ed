import { splitAddress } from "@lagoonloom/objects";
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import { ExecutorAgent } from "./_executor_agent.ts";
import { readResponse } from "./_read_response.ts";
import type { ExchangeFailure, ExchangeResult } from "./exchange_result.ts";
import type { ExecutorRequest } from "./executor_request.ts";
import type { MemoryBudget } from "./memory_budget.ts";

/** Idle connections are closed before the usual 5 s of HTTP servers. */
const IDLE_CONNECTION_MS = 4_000;

/** Time in which a connection has to be ready; all hosts are in one region. */
const CONNECT_TIMEOUT_MS = 500;

/**
 * Time in milliseconds in which an executor ends a request after its deadline
 * or after its connection ended. Timers of a busy executor run late, and a
 * request that starts in the slot before would be one too many there.
 */
export const EXECUTOR_GRACE_MS = 500;

/** Options of {@linkcode createExecutorClient}. */
export type ExecutorClientOptions = {
  /** Connections that this process may open to one executor. */
  maxConnections: number;
  budget: MemoryBudget;
};

/** Client of the executors. */
export type ExecutorClient = {
  /** Sends one request and resolves when its outcome is known. */
  exchange(request: ExecutorRequest): Promise<ExchangeResult>;
  /** Destroys every connection. */
  close(): void;
};

/**
 * Creates the client of the executors.
 *
 * It uses `node:http`, since its `socket` event comes before the first byte is
 * written: the client writes nothing until the socket is connected and
 * `maySend` agrees, so a failure before that point provably sent nothing.
 *
 * @example
 * ```ts
 * const budget = createMemoryBudget(32 * 1_024 * 1_024);
 * const client = createExecutorClient({ maxConnections: 21, budget });
 * ```
 */
export function createExecutorClient(
  options: ExecutorClientOptions,
): ExecutorClient {
  const half = Math.max(1, Math.floor(options.maxConnections / 2));
  const reusing = new ExecutorAgent(half, IDLE_CONNECTION_MS);
  const single = new Agent({ maxSockets: half, noDelay: true });
  return {
    exchange(order) {
      const agent = order.mayReuseConnection ? reusing : single;
      return exchange(order, agent, options.budget);
    },
    close() {
      reusing.destroy();
      single.destroy();
    },
  };
}

function exchange(
  order: ExecutorRequest,
  agent: Agent,
  budget: MemoryBudget,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const startedAtMs = performance.now();
    let wasSent = false;
    let isAnswering = false;
    let isSettled = false;
    const { host, port } = splitAddress(order.address);
    const outgoing = request({
      host,
      port,
      agent,
      method: order.method,
      path: order.path,
      headers: requestHeaders(order),
    });
    const settle = (result: ExchangeResult) => {
      if (isSettled) return;
      isSettled = true;
      resolve(result);
    };
    const fail = (reason: ExchangeFailure) => {
      if (isSettled) return void outgoing.destroy();
      if (!wasSent) {
        settle({ type: "failed", reason, notRun: true });
        outgoing.destroy();
        return;
      }
      // The end of a late answer proves that the executor has ended.
      const mayAnswer = reason === "deadline" && !isAnswering;
      const ended = mayAnswer ? awaitLateAnswer(outgoing) : graceTime();
      settle({ type: "failed", reason, notRun: false, ended });
      if (!mayAnswer) outgoing.destroy();
    };
    // Also ends an answer that is still being streamed.
    const deadline = setTimeout(fail, order.remainingMs, "deadline");
    const connecting = setTimeout(fail, CONNECT_TIMEOUT_MS, "connect");
    const send = () => {
      clearTimeout(connecting);
      if (isSettled) return;
      if (!order.maySend()) return fail("slot-rights");
      wasSent = true;
      const elapsedMs = performance.now() - startedAtMs;
      const remainingMs = Math.floor(order.remainingMs - elapsedMs);
      outgoing.setHeader("request-deadline-ms", Math.max(1, remainingMs));
      outgoing.end(order.body);
    };
    outgoing.on("socket", (socket) => {
      if (socket.connecting) socket.once("connect", send);
      else send();
    });
    const end = () => {
      if (isSettled) return;
      if (!wasSent) fail("connect");
      else fail(outgoing.reusedSocket ? "stale-connection" : "broken");
    };
    outgoing.on("error", end);
    // Fires without an error when the connection ends before an answer.
    outgoing.on("close", () => {
      clearTimeout(connecting);
      clearTimeout(deadline);
      end();
    });
    outgoing.on("response", (incoming: IncomingMessage) => {
      isAnswering = true;
      if (isSettled) {
        outgoing.shouldKeepAlive = false;
        return void incoming.resume();
      }
      readResponse(incoming, { id: order.id, budget, settle, fail });
    });
  });
}

/** Resolves when a late answer or its connection ends, or the grace time. */
function awaitLateAnswer(outgoing: ClientRequest): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => outgoing.destroy(), EXECUTOR_GRACE_MS);
    timer.unref();
    outgoing.once("close", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function graceTime(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, EXECUTOR_GRACE_MS).unref();
  });
}

function requestHeaders(order: ExecutorRequest): Record<string, string> {
  const headers: Record<string, string> = {
    ...order.headers,
    "x-request-id": order.id,
  };
  if (order.body.length > 0 || !BODYLESS_METHODS.has(order.method)) {
    headers["content-length"] = String(order.body.length);
  }
  return headers;
}

const BODYLESS_METHODS = new Set(["GET", "HEAD", "DELETE"]);
