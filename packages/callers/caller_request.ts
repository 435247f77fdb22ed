import type { Urgency } from "@lagoonloom/decisions";

/** Request of a caller after its checks. */
export type CallerRequest = {
  service: string;
  method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path with its query, as the executor gets it. */
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  urgency: Urgency;
  /** Time that the caller waits; the service's default if absent. */
  deadlineMs: number | undefined;
  /** Team of the caller. */
  caller: string;
  idempotencyKey: string | undefined;
  /** Aborted when the caller's connection is gone. */
  signal: AbortSignal;
};
