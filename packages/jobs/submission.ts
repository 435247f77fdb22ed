import { z } from "zod";

/** Schema of an amount of processor, memory and accelerators. */
export const Size = z.object({
  /** Thousandths of a core. */
  cpu: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0),
});

/** Amount of processor, memory and accelerators. */
export type Size = z.infer<typeof Size>;

/** Schema of a step: tasks of one kind that may run at the same time. */
export const Step = z.object({
  count: z.int().min(1).max(10_000),
  size: Size,
  /** Rough duration of a task in milliseconds. */
  estimateMs: z.number().min(0),
  /** Numbers of earlier steps that have to end first. */
  dependsOn: z.array(z.int().min(0)),
  isCheckpointing: z.boolean(),
  /** Whether the tasks only work together, under one run number. */
  isGang: z.boolean(),
  isSameRack: z.boolean(),
  /** Whether copies of a task may run at the same time. */
  isSpeculative: z.boolean(),
  /** Whether the tasks run until the job is cancelled. */
  isLasting: z.boolean(),
  /** Whether the tasks only use processor time that others leave. */
  isFilling: z.boolean(),
  /** Label that an executor must have; empty if any will do. */
  label: z.string(),
  /** Rack that holds the data; empty if there is none. */
  rack: z.string(),
  /** Most tasks of an occurrence on one executor; 0 if unlimited. */
  maxPerExecutor: z.int().min(0),
  image: z.string(),
  /** Bound of the tail of response times in milliseconds; 0 if none. */
  targetMs: z.number().min(0),
  /** Tasks that the system may take away at the same time. */
  maxAway: z.int().min(0),
});

/** Step of a submission. */
export type Step = z.infer<typeof Step>;

/** Schema of what a caller hands in. */
export const Submission = z.object({
  spec: z.string().max(4_000),
  steps: z.array(Step).min(1).max(100),
  /** Time of the first occurrence in Unix milliseconds. */
  firstRunMs: z.number().min(0),
  intervalMs: z.number().min(0),
  /** Occurrences by time; 0 if the job runs once, at once. */
  occurrences: z.int().min(0),
});

/** Work that a caller hands in. */
export type Submission = z.infer<typeof Submission>;

/** Schema of the stored record of an accepted job. */
export const AcceptedJob = z.object({
  queue: z.string(),
  service: z.string(),
  acceptedAtMs: z.number(),
  submission: Submission,
});

/** Stored record of an accepted job. */
export type AcceptedJob = z.infer<typeof AcceptedJob>;

/** State of a job as callers see it. */
export type JobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";
