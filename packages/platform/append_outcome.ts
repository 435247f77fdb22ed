/** Outcome of an append to the log. */
export type AppendOutcome =
  /** Stored at the offset; `timeMs` is the Unix time of the log. */
  | { type: "appended"; offset: number; timeMs: number }
  /** The log did not store the record; a retry is safe. */
  | { type: "refused"; reason: string }
  /** Possibly stored; the caller looks up the record by its id. */
  | { type: "unknown"; reason: string };
