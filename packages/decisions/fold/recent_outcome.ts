/**
 * Outcomes of folded records.
 *
 * @module
 */

/** Whether a record took effect, and the reason if it did not. */
export type RecordOutcome =
  | { type: "applied" }
  /** A record with the same id was folded before and determines the outcome. */
  | { type: "duplicate" }
  | { type: "refused"; reason: string };

/** Outcome of a recently folded record, with the record's offset and time. */
export type RecentOutcome = {
  offset: number;
  timeMs: number;
  outcome: RecordOutcome;
};
