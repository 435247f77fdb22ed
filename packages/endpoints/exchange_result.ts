import type { Readable } from "node:stream";

/** Reason for which an exchange with an executor has no answer. */
export type ExchangeFailure =
  | "connect"
  | "no-connection"
  | "slot-rights"
  | "deadline"
  | "broken"
  /** An idle connection ended before any byte of the answer. */
  | "stale-connection"
  | "wrong-answer"
  | "unframed-answer"
  | "refused";

/** Head of an answer. */
export type ResponseHead = {
  status: number;
  headers: Record<string, string>;
};

/** Result of an exchange with an executor. */
export type ExchangeResult =
  | ResponseHead & {
    type: "answered";
    body: Uint8Array;
    /** Returns the memory of the body to the budget; called once. */
    release: () => void;
  }
  /** Answer that is too large for a buffer. */
  | ResponseHead & {
    type: "streamed";
    /** Length of the body in bytes, if the executor stated it. */
    length: number | undefined;
    stream: Readable;
  }
  | {
    type: "failed";
    reason: ExchangeFailure;
    /** True only if no byte was sent or the executor reported it. */
    notRun: boolean;
    /**
     * Resolves when the executor can no longer run the request; absent if it
     * does not run it any more. Until then the slot is in use.
     */
    ended?: Promise<void>;
  };
