/**
 * Looks up outcomes of folded records, by which appenders learn whether their
 * records took effect.
 *
 * @module
 */

import type { FleetState } from "./fleet_state.ts";
import type { RecentOutcome } from "./recent_outcome.ts";

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
