/**
 * HTTP load generator of the benchmark.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "node:http";

/** Requests of one run. */
export type Load = {
  address: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  durationMs: number;
  /** Maximum number of requests at a time. */
  connections: number;
  /** Requests per second; without a rate, as many as possible. */
  ratePerS?: number;
  /** Whether each request has a unique idempotency key. */
  hasKeys?: boolean;
};

/** Result of a run. */
export type LoadResult = {
  requests: number;
  /** Requests without a 200 response of the expected length. */
  failures: number;
  durationMs: number;
  /** Latency in microseconds. */
  latency: Histogram;
};

/**
 * Sends requests for a time. With a rate, the latency is measured from the time
 * at which a request was due, so that a stall counts for each request that it
 * delays (no coordinated omission).
 *
 * @example
 * ```ts
 * const result = await sendLoad(load);
 * ```
 */
export async function sendLoad(load: Load): Promise<LoadResult> {
  const agent = new Agent({ keepAlive: true, maxSockets: load.connections });
  const result: LoadResult = {
    requests: 0,
    failures: 0,
    durationMs: 0,
    latency: build({ highestTrackableValue: 60_000_000 }),
  };
  const startAtMs = performance.now();
  const intervalMs = load.ratePerS === undefined ? 0 : 1_000 / load.ratePerS;
  let sent = 0;
  const sendUntilEnd = async () => {
    for (;;) {
      const dueAtMs = startAtMs + sent * intervalMs;
      const nowMs = performance.now();
      if (Math.max(nowMs, dueAtMs) - startAtMs >= load.durationMs) return;
      sent += 1;
      if (dueAtMs > nowMs) await sleep(dueAtMs - nowMs);
      const startedAtMs = intervalMs === 0 ? nowMs : dueAtMs;
      const isOk = await sendOne(load, agent, sent);
      result.requests += 1;
      if (!isOk) result.failures += 1;
      const latencyMs = performance.now() - startedAtMs;
      result.latency.recordValue(Math.max(1, Math.round(latencyMs * 1_000)));
    }
  };
  await Promise.all(Array.from({ length: load.connections }, sendUntilEnd));
  result.durationMs = performance.now() - startAtMs;
  agent.destroy();
  return result;
}

function sendOne(load: Load, agent: Agent, number: number): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request(`http://${load.address}${load.path}`, {
      method: "POST",
      agent,
      headers: {
        ...load.headers,
        "content-length": load.body.length,
        ...(load.hasKeys && {
          "idempotency-key": `${process.pid}-${performance.now()}-${number}`,
        }),
      },
    }, (incoming) => {
      let size = 0;
      incoming.on("data", (chunk: Buffer) => size += chunk.length);
      incoming.on("end", () => {
        resolve(incoming.statusCode === 200 && size === load.body.length);
      });
      incoming.on("error", () => resolve(false));
    });
    outgoing.on("error", () => resolve(false));
    outgoing.end(load.body);
  });
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
