/** Outcome of an append to the log. */
export type AppendOutcome =
  | { type: "appended"; offset: number; timeMs: number }
  /** The log did not take the record; a retry is safe. */
  | { type: "refused"; reason: string }
  /** The answer was lost; the caller looks the record id up. */
  | { type: "unknown"; reason: string };
