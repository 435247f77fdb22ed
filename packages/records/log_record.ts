/**
 * Envelope of the records on the log, and the names of its streams.
 *
 * @module
 */

import { z } from "zod";

/** Schema of a record with the fields that the log adds. */
export const LogRecord = z.strictObject({
  offset: z.int().min(0),
  /** Time at which the log stored the record, in milliseconds since 1970. */
  timeMs: z.int().min(0),
  /**
   * Id that the appender chose, by which it finds the outcome of an append
   * whose answer was lost.
   */
  id: z.string().max(100),
  body: z.unknown(),
});

/** Record with the offset, time and id under which the log stores it. */
export type LogRecord = z.infer<typeof LogRecord>;

/** Names of the streams that the daemons use. */
export const STREAMS = ["control", "claims", "answers"] as const;

/** Name of a stream. */
export type Stream = (typeof STREAMS)[number];
