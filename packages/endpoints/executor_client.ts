/**
 * HTTP client that sends requests to executors and tells whether a failed
 * request may have run.
 *
 * @module
 */

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

/**
 * Time after which an idle connection is closed. HTTP servers usually close it
 * after 5 s, and a request must not be sent to a connection that is closing.
 */
const IDLE_CONNECTION_MS = 4_000;

/** Connect timeout; it is short, since all hosts are in one region. */
const CONNECT_TIMEOUT_MS = 500;

/**
 * Time in milliseconds that an executor may need to end a request after its
 * deadline or after its connection ended, since timers of a busy executor run
 * late. If the slot were used again earlier, the executor could run more
 * requests at a time than it has slots.
 */
export const EXECUTOR_GRACE_MS = 500;

/** Options of {@linkcode createExecutorClient}. */
export type ExecutorClientOptions = {
  /** Most connections that this process may open to one executor. */
  maxConnections: number;
  /** Memory for responses that are buffered. */
  budget: MemoryBudget;
};

/** Client that sends requests to executors. */
export type ExecutorClient = {
  /** Sends a request; resolves with its response or the reason for none. */
  exchange(request: ExecutorRequest): Promise<ExchangeResult>;
  /** Closes all connections at once. */
  close(): void;
};

/**
 * Creates a client that sends requests to executors.
 *
 * It uses `node:http`, which emits `socket` before it writes the first byte.
 * The client writes nothing until the socket is connected and `maySend` returns
 * true, so that a request that fails earlier has certainly not run.
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
  const maxSocketsPerAgent = Math.max(
    1,
    Math.floor(options.maxConnections / 2),
  );
  const keepAliveAgent = new ExecutorAgent(
    maxSocketsPerAgent,
    IDLE_CONNECTION_MS,
  );
  const singleUseAgent = new Agent({
    maxSockets: maxSocketsPerAgent,
    noDelay: true,
  });
  return {
    exchange(executorRequest) {
      const agent = executorRequest.mayReuseConnection
        ? keepAliveAgent
        : singleUseAgent;
      return exchange(executorRequest, agent, options.budget);
    },
    close() {
      keepAliveAgent.destroy();
      singleUseAgent.destroy();
    },
  };
}

function exchange(
  executorRequest: ExecutorRequest,
  agent: Agent,
  budget: MemoryBudget,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const startedAtMs = performance.now();
    let wasSent = false;
    let isResponding = false;
    let isSettled = false;
    const { host, port } = splitAddress(executorRequest.address);
    const outgoing = request({
      host,
      port,
      agent,
      method: executorRequest.method,
      path: executorRequest.path,
      headers: requestHeaders(executorRequest),
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
      // The end of a late response proves that the executor ended the request.
      const mayStillRespond = reason === "deadline" && !isResponding;
      const ended = mayStillRespond
        ? awaitLateResponse(outgoing)
        : waitGraceTime();
      settle({ type: "failed", reason, notRun: false, ended });
      if (!mayStillRespond) outgoing.destroy();
    };
    // Applies to a response that is still being streamed as well.
    const deadline = setTimeout(fail, executorRequest.remainingMs, "deadline");
    const connecting = setTimeout(fail, CONNECT_TIMEOUT_MS, "connect");
    const send = () => {
      clearTimeout(connecting);
      if (isSettled) return;
      if (!executorRequest.maySend()) return fail("slot-rights");
      wasSent = true;
      const elapsedMs = performance.now() - startedAtMs;
      const remainingMs = Math.floor(executorRequest.remainingMs - elapsedMs);
      outgoing.setHeader("request-deadline-ms", Math.max(1, remainingMs));
      outgoing.end(executorRequest.body);
    };
    outgoing.on("socket", (socket) => {
      if (socket.connecting) socket.once("connect", send);
      else send();
    });
    const failUnanswered = () => {
      if (isSettled) return;
      if (!wasSent) fail("connect");
      else fail(outgoing.reusedSocket ? "stale-connection" : "broken");
    };
    outgoing.on("error", failUnanswered);
    // Emitted without an error if the connection ends before a response.
    outgoing.on("close", () => {
      clearTimeout(connecting);
      clearTimeout(deadline);
      failUnanswered();
    });
    outgoing.on("response", (incoming: IncomingMessage) => {
      isResponding = true;
      if (isSettled) {
        outgoing.shouldKeepAlive = false;
        return void incoming.resume();
      }
      readResponse(incoming, { id: executorRequest.id, budget, settle, fail });
    });
  });
}

/** Resolves when a late response or its connection ends, or the grace time. */
function awaitLateResponse(outgoing: ClientRequest): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => outgoing.destroy(), EXECUTOR_GRACE_MS);
    timer.unref();
    outgoing.once("close", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function waitGraceTime(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, EXECUTOR_GRACE_MS).unref();
  });
}

function requestHeaders(
  executorRequest: ExecutorRequest,
): Record<string, string> {
  const headers: Record<string, string> = {
    ...executorRequest.headers,
    "x-request-id": executorRequest.id,
  };
  if (
    executorRequest.body.length > 0 ||
    !BODYLESS_METHODS.has(executorRequest.method)
  ) {
    headers["content-length"] = String(executorRequest.body.length);
  }
  return headers;
}

/** Methods that get no `content-length` header if the body is empty. */
const BODYLESS_METHODS = new Set(["GET", "HEAD", "DELETE"]);
