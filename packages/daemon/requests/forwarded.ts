/**
 * Requests, answers and results in the form that calls between entry hosts
 * carry.
 *
 * @module
 */

/** Header of a forwarded request or its answer. */
export type WireHeader = { name: string; value: string };

/** Request that one entry host forwards to another. */
export type ForwardedRequest = {
  requestId: string;
  service: string;
  urgency: string;
  method: string;
  path: string;
  headers: WireHeader[];
  body: Uint8Array;
  remainingMs: number;
  idempotent: boolean;
};

/** Answer of an executor that one entry host returns to another. */
export type WireAnswer = {
  status: number;
  headers: WireHeader[];
  body: Uint8Array;
};

/** Result of a forwarded request. */
export type ForwardedResult =
  | { type: "answer"; answer: WireAnswer }
  | {
    type: "failure";
    /** Whether the request provably did not run. */
    notRun: boolean;
    reason: string;
    retryAfterMs: number;
  };
