/**
 * Outcomes of folded records, by which appenders learn whether their records
 * took effect.
 *
 * @module
 */

import type { FleetState } from "./fleet_state.ts";

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

/**
 * Number of offsets for which the outcomes of records are kept.
 *
 * Later duplicates have no second effect either: versions, generations, epochs,
 * incarnations and attempts never decrease, so the precondition of a duplicate
 * no longer holds. Only a late `host.observed` may repeat an observation of the
 * same generation, which the next observation corrects. The window therefore
 * only limits how long an appender can look up an outcome. At 300 appends per
 * second it lasts 13 s, which is longer than any retry of an append.
 */
export const OUTCOME_WINDOW_OFFSETS = 4_096;

/**
 * Returns the outcome of a recent record, or undefined if it is unknown. For a
 * published change of the object set that took effect, this also searches the
 * history of the set.
 *
 * @example
 * ```ts
 * const found = findRecordOutcome(state, "publish-17");
 * ```
 */
export function findRecordOutcome(
  state: FleetState,
  id: string,
): RecentOutcome | undefined {
  const recent = state.outcomes.get(id);
  if (recent !== undefined) return recent;
  const entry = state.history.find((entry) => entry.recordId === id);
  if (entry === undefined) return undefined;
  const { offset, timeMs } = entry;
  return { offset, timeMs, outcome: { type: "applied" } };
}
