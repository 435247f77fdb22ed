/**
 * Caller for tests, which tells answered, refused and broken attempts apart.
 *
 * @module
 */

import type { Urgency } from "@lagoonloom/decisions";
import { request } from "node:http";

/** Answer to one attempt of a caller. */
export type Attempt = {
  status: number;
  body: string;
  /** Whether the whole body arrived. */
  isWhole: boolean;
  outcome: "not-run" | "unknown" | undefined;
  reason: string | undefined;
  /** Runs of the key when the answer arrived. */
  runsBefore: number;
};

/** Options of a caller's request. */
export type CallOptions = {
  /** Idempotency key of an order; the request is a quote without one. */
  key?: string;
  body?: string;
  service?: string;
  token?: string;
  urgency?: Urgency;
  signal?: AbortSignal;
};

/** Sends a caller's request; also resolves if the connection breaks. */
export function sendCallerRequest(
  address: string,
  options: CallOptions,
  countRuns: () => number,
): Promise<Attempt> {
  const { key, body = "", token = "token", urgency, signal } = options;
  const { service = key === undefined ? "quoting" : "orders" } = options;
  return new Promise((resolve) => {
    const outgoing = request(`http://${address}/v1/services/${service}/a`, {
      method: "POST",
      agent: false,
      headers: {
        authorization: `Bearer ${token}`,
        ...(key !== undefined && { "idempotency-key": key }),
        ...(urgency !== undefined && { "request-class": urgency }),
      },
      ...(signal && { signal }),
    }, (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
      incoming.on("error", () => undefined);
      incoming.on("close", () => {
        const text = Buffer.concat(chunks).toString();
        const status = incoming.statusCode ?? 0;
        const problem = status >= 400 && incoming.complete
          ? JSON.parse(text) as Attempt
          : undefined;
        resolve({
          status,
          body: text,
          isWhole: incoming.complete,
          outcome: problem?.outcome,
          reason: problem?.reason,
          runsBefore: countRuns(),
        });
      });
    });
    const broken: Attempt = {
      status: 0,
      body: "",
      isWhole: false,
      outcome: undefined,
      reason: "broken",
      runsBefore: 0,
    };
    outgoing.on("error", () => resolve(broken));
    outgoing.end(body);
  });
}
