import type { ClaimRecord } from "@lagoonloom/records";

/** Output of {@linkcode advanceClaims}. */
export type ClaimAction =
  | { type: "append"; recordId: string; record: ClaimRecord }
  /** The claim of this order is the first: it may be sent now. */
  | { type: "send"; id: string; key: string }
  /** The order repeats one that runs or ran here. */
  | { type: "join"; id: string; primary: string }
  | {
    type: "wait-for-holder";
    id: string;
    key: string;
    member: string;
    incarnation: string;
  }
  | { type: "read-answer"; id: string; key: string; offset: number }
  | {
    type: "refuse";
    id: string;
    key: string;
    notRun: boolean;
    /** Whether a claim of another entry host may exist unseen. */
    isCertain: boolean;
    reason: string;
  }
  /** The outcome of this order is no longer needed in memory. */
  | { type: "forget"; primary: string }
  /** A tick is due at this monotonic time. */
  | { type: "wake"; atMs: number };
