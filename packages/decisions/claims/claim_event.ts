import type { ClaimRecord } from "@lagoonloom/records";

/** How an order ended that this entry host held. */
export type OrderEnd = "answered" | "not-run" | "unknown";

/** Result of an append of a batch. */
export type ClaimAppendResult = "appended" | "refused" | "unknown";

/** Input of {@linkcode advanceClaims}. */
export type ClaimEvent =
  | {
    type: "order-received";
    id: string;
    /** Digest of the caller and the idempotency key. */
    key: string;
    /** Digest of the request's method, path and body. */
    request: string;
    /** Monotonic time in milliseconds. */
    deadlineAtMs: number;
    /** Reason for which no new order is taken; repeats are still answered. */
    refuseNewReason?: string;
  }
  | { type: "append-result"; recordId: string; result: ClaimAppendResult }
  | { type: "folded"; id: string; timeMs: number; body: ClaimRecord }
  /** The order of this id, which was sent or refused, has ended. */
  | { type: "ended"; key: string; end: OrderEnd }
  /** The answer was stored at an offset of `answers`, or will not be. */
  | { type: "answer-kept"; key: string; offset: number | undefined }
  | { type: "members"; live: number }
  /** The caller of an order that waits for its claim has gone. */
  | { type: "cancelled"; id: string; key: string }
  | { type: "tick" };
