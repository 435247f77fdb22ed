import type { ClaimRecord } from "@lagoonloom/records";

/** Action that the caller of {@linkcode advanceClaims} has to perform. */
export type ClaimAction =
  /** Append a batch of claims, completions and releases to the log. */
  | { type: "append"; recordId: string; record: ClaimRecord }
  /** Run the order: its claim is the first of its key. */
  | { type: "send"; id: string; key: string }
  /** Answer the order with the outcome of `primary`, which it repeats. */
  | { type: "join"; id: string; primary: string }
  /** Ask the process that holds the claim for the outcome of the order. */
  | {
    type: "wait-for-holder";
    id: string;
    key: string;
    member: string;
    incarnation: string;
  }
  /** Answer the order with the stored answer at an offset. */
  | { type: "read-answer"; id: string; key: string; offset: number }
  /** Refuse the order. */
  | {
    type: "refuse";
    id: string;
    key: string;
    /** Whether the order did not run, as far as this process knows. */
    notRun: boolean;
    /**
     * Whether `notRun` is certain. It is not while another entry host may have
     * claimed the key for the same order without this one having folded that.
     */
    isCertain: boolean;
    reason: string;
  }
  /** Drop the outcome of an order, which no repeat needs from memory now. */
  | { type: "forget"; primary: string }
  /** Pass a tick at this monotonic time in milliseconds. */
  | { type: "wake"; atMs: number };
