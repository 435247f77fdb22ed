import type { FleetState } from "./fleet_state.ts";

/** Whether a record took effect, and why not. */
export type RecordOutcome =
  | { type: "applied" }
  /** The same record id was folded before; the first outcome stands. */
  | { type: "duplicate" }
  | { type: "refused"; reason: string };

/** Outcome of a record that was folded recently. */
export type RecentOutcome = {
  offset: number;
  timeMs: number;
  outcome: RecordOutcome;
};

/**
 * Number of offsets for which record ids are remembered.
 *
 * A duplicate that arrives later has no second effect either: versions,
 * generations, epochs, incarnations and attempts only grow, so its precondition
 * no longer holds. A late `host.observed` can repeat an observation of the same
 * generation, which the next observation corrects. The window therefore only
 * limits how long an appender can ask for an outcome: at 300 appends per second
 * it lasts 13 s, longer than any retry of an append.
 */
export const OUTCOME_WINDOW_OFFSETS = 4_096;

/**
 * Returns what became of a recent record, or undefined if it is not known. A
 * publication that took effect is also found in the history of the set.
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
