/**
 * Jobs as callers submit them and as the store keeps them.
 *
 * @module
 */

import { z } from "zod";

/** Schema of an amount of processor time, memory and accelerators. */
export const Size = z.object({
  /** Thousandths of a core. */
  cpu: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0),
});

/** Amount of processor time, memory and accelerators. */
export type Size = z.infer<typeof Size>;

/** Schema of a step, whose tasks are alike and may run in parallel. */
export const Step = z.object({
  count: z.int().min(1).max(10_000),
  size: Size,
  /** Estimated duration of a task in milliseconds; 0 if unknown. */
  estimateMs: z.number().min(0),
  /** Indexes of earlier steps that have to be done first. */
  dependsOn: z.array(z.int().min(0)),
  isCheckpointing: z.boolean(),
  /** Whether the tasks have to run all at once, under one run number. */
  isGang: z.boolean(),
  isSameRack: z.boolean(),
  /** Whether several runs of a task may go on at the same time. */
  isSpeculative: z.boolean(),
  /** Whether the tasks run until the job is cancelled. */
  isLasting: z.boolean(),
  /** Whether the tasks only use processor time that other tasks leave idle. */
  isFilling: z.boolean(),
  /** Label that an executor must have; empty if any will do. */
  label: z.string(),
  /** Rack that holds the input data; empty if any rack will do. */
  rack: z.string(),
  /** Limit of tasks of one occurrence on an executor; 0 if there is none. */
  maxPerExecutor: z.int().min(0),
  image: z.string(),
  /** Target of the tail response time in milliseconds; 0 if there is none. */
  targetMs: z.number().min(0),
  /**
   * Disruption budget of a lasting step: number of its tasks that may be
   * unavailable at the same time when the system stops one to move it.
   */
  maxAway: z.int().min(0),
});

/** Step of a submission. */
export type Step = z.infer<typeof Step>;

/** Schema of a submitted job. */
export const Submission = z.object({
  spec: z.string().max(4_000),
  steps: z.array(Step).min(1).max(100),
  /** Time of the first occurrence in Unix milliseconds. */
  firstRunMs: z.number().min(0),
  intervalMs: z.number().min(0),
  /** Number of scheduled occurrences; 0 if the job runs once, at once. */
  occurrences: z.int().min(0),
});

/** Job as its caller submits it. */
export type Submission = z.infer<typeof Submission>;

/** Schema of how a queue treats its jobs. */
export const QueuePolicy = z.object({
  /** Lower numbers are served first; 0 is the highest priority. */
  priority: z.number(),
  /** Number of failed runs of one task that makes its job fail. */
  maxFailures: z.number(),
  /**
   * A job should complete within `stretch` times the length of its critical
   * path, plus `targetLatencyMs`.
   */
  stretch: z.number(),
  targetLatencyMs: z.number(),
  /** Whether executors need a ticket of the advice service for each step. */
  needsAdvice: z.boolean(),
});

/** How a queue treats its jobs. */
export type QueuePolicy = z.infer<typeof QueuePolicy>;

/** Schema of the stored record of an accepted job. */
export const AcceptedJob = z.object({
  queue: z.string(),
  /**
   * Policy of the queue, for the time after it was removed from the
   * configuration. Records of earlier versions have none.
   */
  policy: QueuePolicy.optional(),
  /**
   * Service whose executors run the job, also after a configuration has sent
   * its queue to another one.
   */
  service: z.string(),
  /** Organisation of the caller; undefined if none is known. */
  organisation: z.string().optional(),
  acceptedAtMs: z.number(),
  submission: Submission,
});

/** Stored record of an accepted job. */
export type AcceptedJob = z.infer<typeof AcceptedJob>;

/**
 * Schema of the caller of a job: its organisation or, if calls of the queue
 * need no key, the queue. A caller with neither may use all jobs.
 */
export const Caller = z.object({
  organisation: z.string().optional(),
  queue: z.string().optional(),
});

/** Caller of a job. */
export type Caller = z.infer<typeof Caller>;

/** Schema of the stored record of a cancellation. */
export const Cancellation = z.object({
  cancelledAtMs: z.number(),
  /** Only a job that is accessible to this caller is cancelled. */
  caller: Caller.optional(),
});

/** Stored record of a cancellation. */
export type Cancellation = z.infer<typeof Cancellation>;

/** State of a job that callers see. */
export type JobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";
