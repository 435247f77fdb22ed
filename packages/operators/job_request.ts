/**
 * Requests of operators about jobs, and their outcomes.
 *
 * @module
 */

import { Name } from "@lagoonloom/objects";
import { z } from "zod";
import { PublicationId } from "./publication.ts";

/** Schema of the name of a job. */
export const JobName = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/,
  "expected up to 100 letters, digits, dots, hyphens and underscores",
);

/** Schema of a job that an operator submits: body of `POST /v1/jobs`. */
export const JobSubmission = z.strictObject({
  /** Id that its sender chooses, and repeats in every retry. */
  requestId: PublicationId,
  job: JobName,
  team: Name,
  urgency: z.enum(["urgent", "normal", "deferrable"]).default("normal"),
  cores: z.number().min(0).max(1_024),
  memory_gb: z.number().min(0).max(65_536),
  accelerators: z.int().min(0).max(64).default(0),
  /** Expected run time in seconds. */
  run_s: z.number().positive().max(31_536_000),
  /** Data centres in which it may run; any if empty. */
  data_centres: z.array(Name).max(100).default([]),
  operator: z.string().min(1).max(100),
});

/** Job that an operator submits. */
export type JobSubmission = z.infer<typeof JobSubmission>;

/** Schema of a cancellation: body of `POST /v1/jobs/ID/cancel`. */
export const JobCancellation = z.strictObject({
  requestId: PublicationId,
  operator: z.string().min(1).max(100),
});

/** Cancellation of a job. */
export type JobCancellation = z.infer<typeof JobCancellation>;

/** Schema of the outcome of a request about a job. */
export const JobOutcome = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("accepted"),
    job: z.string(),
    offset: z.int().min(0),
    /** Reason why no worker can run the job; absent if one can. */
    blocked: z.string().optional(),
  }),
  z.object({
    type: z.literal("refused"),
    /** `unavailable`: the record could not be appended to the log. */
    cause: z.enum(["invalid", "unavailable"]),
    reason: z.string(),
  }),
  /** Nobody knows yet whether the request takes effect. */
  z.object({ type: z.literal("unknown"), requestId: z.string() }),
]);

/** Outcome of a request about a job. */
export type JobOutcome = z.infer<typeof JobOutcome>;

/** Schema of a job as a daemon knows it. */
export const ListedJob = z.object({
  job: z.string(),
  team: z.string(),
  urgency: z.enum(["urgent", "normal", "deferrable"]),
  state: z.enum(["queued", "running", "succeeded", "cancelled", "parked"]),
  attempt: z.int().min(0),
  worker: z.string().optional(),
  /** Time of the last change of state in the log, in Unix milliseconds. */
  sinceMs: z.number(),
  reason: z.string(),
});

/** Job as a daemon knows it. */
export type ListedJob = z.infer<typeof ListedJob>;

/** Schema of the jobs that a daemon knows. */
export const JobList = z.object({
  /** Offset of the next log record that the daemon will apply. */
  offset: z.int().min(0),
  jobs: z.array(ListedJob),
  /** Number of matching jobs that are not in the list. */
  omitted: z.int().min(0),
});

/** Jobs that a daemon knows. */
export type JobList = z.infer<typeof JobList>;
