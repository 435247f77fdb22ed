import { z } from "zod";
import { Name } from "./name.ts";

/** Schema of a service. */
export const Service = z.strictObject({
  /** Home pool, of whose slots the service has a guaranteed share. */
  pool: Name,
  /** Guaranteed share of the home pool's slots in percent. */
  share_percent: z.number().positive().max(100).default(100),
  /** Other pools whose idle slots the service may use, spare pools first. */
  overflow: z.array(Name).default([]),
  /** Team that owns the service. */
  team: Name.optional(),
  /** Expected run time of a request in milliseconds. */
  run_time_ms: z.number().positive().max(600_000),
  /** Default deadline of a request in milliseconds. */
  deadline_ms: z.number().positive().max(600_000).default(2_000),
  /** Whether POST requests are safe to run more than once. */
  idempotent_posts: z.boolean().default(false),
});

/** Service whose requests run on the executors of its pools. */
export type Service = z.infer<typeof Service>;
