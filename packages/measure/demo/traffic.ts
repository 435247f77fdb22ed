import got from "got";
import { randomUUID } from "node:crypto";
import { Agent } from "node:http";
import { KEYS } from "../processes/mod.ts";

/** What became of one request, as its caller saw it. */
export type CallerResult = {
  service: string;
  /** Idempotency key, which the body repeats. */
  key: string;
  isOrder: boolean;
  outcome: "answered" | "not-run" | "unknown" | "broken";
  /** Reason that a problem stated. */
  reason?: string;
  /** Whether the answer belongs to the request and is whole. */
  isOwnAnswer: boolean;
  latencyMs: number;
};

/** Kind of requests that a caller sends. */
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
  /** Address of the balancer or of one entry host. */
  address: string;
  key?: string;
};

/** Each request opens a connection, so that the balancer spreads them. */
const agent = { http: new Agent({ keepAlive: false }) };

/**
 * Sends one request and returns what its caller learned.
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
  const result = (
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
      return result("answered", isOwn(response.body, load, key));
    }
    const problem = JSON.parse(response.body) as {
      outcome?: string;
      reason: string;
    };
    const { outcome, reason } = problem;
    return { ...result(outcome === "not-run" ? outcome : "unknown"), reason };
  } catch {
    return result("broken");
  }
}

function isOwn(body: string, load: Load, key: string): boolean {
  try {
    const answer = JSON.parse(body) as { body: string; path: string };
    if (load.isOrder) return answer.body === key;
    return answer.path.includes(`run_ms=${load.runMs}`);
  } catch {
    return false;
  }
}

/**
 * Sends requests at the rates of some loads for a time, and waits for all
 * results.
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
      const dueAt = (performance.now() - startedAtMs) / 1_000 *
        load.requestsPerS;
      for (; sent < dueAt; sent++) results.push(sendRequest(load, options));
    }, 10);
  });
  await new Promise((resolve) => setTimeout(resolve, options.durationMs));
  for (const timer of timers) clearInterval(timer);
  return await Promise.all(results);
}
