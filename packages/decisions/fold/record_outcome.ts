/** Whether a record took effect, and why not. */
export type RecordOutcome =
  | { type: "applied" }
  /** The same record id was folded before; the first outcome stands. */
  | { type: "duplicate" }
  | { type: "refused"; reason: string };
