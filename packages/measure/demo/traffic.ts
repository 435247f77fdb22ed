/**
 * Sends requests as callers of the demo.
 *
 * @module
 */

import got from "got";
import { randomUUID } from "node:crypto";
import { Agent } from "node:http";
import { KEYS } from "../processes/mod.ts";

/** Result of a request as its caller sees it. */
export type CallerResult = {
  service: string;
  /** Idempotency key, which is also the body of an order. */
  key: string;
  isOrder: boolean;
  /** `broken` means that the connection was lost or no answer came in time. */
  outcome: "answered" | "not-run" | "unknown" | "broken";
  /** Reason that the problem answer states. */
  reason?: string;
  /** Whether the answer is complete and belongs to the request. */
  isOwnAnswer: boolean;
  latencyMs: number;
};

/** Requests of one service that callers send at a constant rate. */
export type Load = {
  service: string;
  isOrder: boolean;
  urgency: "urgent" | "normal" | "deferrable";
  requestsPerS: number;
  runMs: number;
  deadlineMs: number;
};

/** Options of {@linkcode sendRequest}. */
export type SendOptions = {
  /** Address of the balancer or of an entry host. */
  address: string;
  /** Idempotency key; random by default. */
  key?: string;
};

/** Opens a connection for each request, so that the balancer spreads them. */
const agent = { http: new Agent({ keepAlive: false }) };

/**
 * Sends one request. Never rejects; an error is the result `broken`.
 *
 * @example
 * ```ts
 * const result = await sendRequest(load, { address: "127.0.0.1:25902" });
 * ```
 */
export async function sendRequest(
  load: Load,
  options: SendOptions,
): Promise<CallerResult> {
  const { service, isOrder, urgency, runMs, deadlineMs } = load;
  const key = options.key ?? randomUUID();
  const startedAtMs = performance.now();
  const createResult = (
    outcome: CallerResult["outcome"],
    isOwnAnswer = true,
  ): CallerResult => {
    const latencyMs = performance.now() - startedAtMs;
    return { service, key, isOrder, outcome, isOwnAnswer, latencyMs };
  };
  const path = isOrder ? "new" : "price";
  const url = `http://${options.address}/v1/services/${service}/${path}` +
    `?run_ms=${runMs}`;
  try {
    const response = await got(url, {
      method: isOrder ? "POST" : "GET",
      agent,
      headers: {
        "authorization": `Bearer ${KEYS.caller}`,
        "idempotency-key": key,
        "request-class": urgency,
        "request-deadline-ms": String(deadlineMs),
      },
      ...(isOrder && { body: key }),
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: deadlineMs + 5_000 },
    });
    if (response.statusCode === 200) {
      return createResult("answered", isAnswerTo(response.body, load, key));
    }
    const problem = JSON.parse(response.body) as {
      outcome?: string;
      reason: string;
    };
    const { outcome, reason } = problem;
    return {
      ...createResult(outcome === "not-run" ? outcome : "unknown"),
      reason,
    };
  } catch {
    return createResult("broken");
  }
}

function isAnswerTo(body: string, load: Load, key: string): boolean {
  try {
    const answer = JSON.parse(body) as { body: string; path: string };
    if (load.isOrder) return answer.body === key;
    return answer.path.includes(`run_ms=${load.runMs}`);
  } catch {
    return false;
  }
}

/**
 * Sends the requests of several loads for a time, then waits for all results.
 *
 * @example
 * ```ts
 * const results = await sendLoads(loads, { address, durationMs: 5_000 });
 * ```
 */
export async function sendLoads(
  loads: readonly Load[],
  options: { address: string; durationMs: number },
): Promise<CallerResult[]> {
  const results: Promise<CallerResult>[] = [];
  const timers = loads.map((load) => {
    let sent = 0;
    const startedAtMs = performance.now();
    return setInterval(() => {
      const dueCount = (performance.now() - startedAtMs) / 1_000 *
        load.requestsPerS;
      for (; sent < dueCount; sent++) results.push(sendRequest(load, options));
    }, 10);
  });
  await new Promise((resolve) => setTimeout(resolve, options.durationMs));
  for (const timer of timers) clearInterval(timer);
  return await Promise.all(results);
}
