import { LogRecord } from "@lagoonloom/records";
import { z } from "zod";

/** Schema of a page of a stream. */
export const LogPage = z.object({
  records: z.array(LogRecord),
  /** Offset after the last record of the page. */
  nextOffset: z.int().min(0),
  /** Oldest offset that the log still holds. */
  oldestOffset: z.int().min(0),
  retentionMs: z.int().min(1),
});

/** Page of a stream. */
export type LogPage = z.infer<typeof LogPage>;

/** Outcome of a read from the log. */
export type ReadOutcome =
  | { type: "read"; page: LogPage }
  /** The wanted offset is older than the log's retention. */
  | { type: "expired"; page: LogPage }
  | { type: "unreachable"; reason: string };
