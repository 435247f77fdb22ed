import { z } from "zod";

/** Schema of a record as the log returns it. */
export const LogRecord = z.strictObject({
  offset: z.int().min(0),
  /** Time at which the log took the record, in milliseconds since 1970. */
  timeMs: z.int().min(0),
  /** Id that the appender chose, by which a lost answer is found again. */
  id: z.string().max(100),
  body: z.unknown(),
});

/** Record of a stream with its offset and the log's time. */
export type LogRecord = z.infer<typeof LogRecord>;

/** Names of the streams that the daemons use. */
export const STREAMS = ["control", "claims", "answers"] as const;

/** Name of a stream. */
export type Stream = (typeof STREAMS)[number];
