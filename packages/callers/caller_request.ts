import type { Urgency } from "@lagoonloom/decisions";

/** Valid request of an authenticated caller. */
export type CallerRequest = {
  service: string;
  method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path with its query, as it is sent to the executor. */
  path: string;
  /** Headers that are forwarded to the executor. */
  headers: Record<string, string>;
  body: Uint8Array;
  urgency: Urgency;
  /**
   * Time for which the caller waits, in milliseconds; the service's default if
   * absent.
   */
  deadlineMs: number | undefined;
  /** Team of the caller. */
  caller: string;
  idempotencyKey: string | undefined;
  /** Aborted when the caller closes its connection before the response. */
  signal: AbortSignal;
};
