/**
 * Events that change the claims of an entry host.
 *
 * @module
 */

import type { ClaimRecord } from "@lagoonloom/records";

/** Outcome of an order that this entry host ran. */
export type OrderEnd = "answered" | "not-run" | "unknown";

/** Result of the append of a batch; unknown if the log may have it. */
export type ClaimAppendResult = "appended" | "refused" | "unknown";

/** Input of {@linkcode advanceClaims}. */
export type ClaimEvent =
  /** A request with an idempotency key has arrived. */
  | {
    type: "order-received";
    id: string;
    /** Digest of the caller and the idempotency key. */
    key: string;
    /** Digest of the request's method, path and body. */
    request: string;
    /** Monotonic time in milliseconds. */
    deadlineAtMs: number;
    /** Reason to refuse the order unless it is a repeat, if there is one. */
    refuseNewReason?: string;
  }
  /** The append of a batch has ended. */
  | { type: "append-result"; recordId: string; result: ClaimAppendResult }
  /** A batch was read from the log. */
  | { type: "folded"; id: string; timeMs: number; body: ClaimRecord }
  /** The order that was sent for this key has ended. */
  | { type: "ended"; key: string; end: OrderEnd }
  /** The answer was stored at an offset of `answers`, or will not be. */
  | { type: "answer-kept"; key: string; offset: number | undefined }
  /** Number of live entry hosts, which share the rate of appends. */
  | { type: "members"; live: number }
  /** The caller of an order that waits for its claim has disconnected. */
  | { type: "cancelled"; id: string; key: string }
  /** Time has passed. */
  | { type: "tick" };
