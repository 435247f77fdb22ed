/**
 * Pages of a stream and the outcomes of reading them.
 *
 * @module
 */

import { LogRecord } from "@lagoonloom/records";
import { z } from "zod";

/** Schema of a page of records of a stream. */
export const LogPage = z.object({
  records: z.array(LogRecord),
  /** Offset after the last record of the page. */
  nextOffset: z.int().min(0),
  /** Oldest offset that the log still holds. */
  oldestOffset: z.int().min(0),
  /** Time for which the log keeps records, in milliseconds. */
  retentionMs: z.int().min(1),
});

/** Page of records of a stream. */
export type LogPage = z.infer<typeof LogPage>;

/** Outcome of a read from the log. */
export type ReadOutcome =
  | { type: "read"; page: LogPage }
  /** The log no longer holds the requested offset. */
  | { type: "expired"; page: LogPage }
  | { type: "unreachable"; reason: string };
