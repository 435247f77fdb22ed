/**
 * Plan of one round of job placement, and the options of the round.
 *
 * @module
 */

import type { DeciderTerm, PlannedRecord } from "../deciders/planned_record.ts";

/** Planned call to a worker; `preempt` is a checkpoint followed by a stop. */
export type TaskAction = {
  type: "start" | "throttle" | "checkpoint" | "preempt" | "stop";
  worker: string;
  job: string;
  attempt: number;
  reason: string;
};

/** Planned records and calls of a decider for its data centre's jobs. */
export type JobPlan = {
  records: PlannedRecord[];
  actions: TaskAction[];
  /** Queued jobs that can't run on any worker, with the reason. */
  blocked: Map<string, string>;
};

/** Options of {@linkcode planJobs}. */
export type PlanJobsOptions = {
  term: DeciderTerm;
  /** Log time now in milliseconds. */
  nowMs: number;
  /** Records that were appended but whose outcome is not known yet. */
  pending?: readonly PlannedRecord[];
  /** Returns the log time at which a running job's lease has surely ended. */
  leaseEndsAtMs: (job: string) => number;
  /** Time in milliseconds without an answer after which a worker is silent. */
  silentAfterMs: number;
  /** Duration of a task's lease in milliseconds. */
  leaseMs: number;
  /** Whether urgent jobs may preempt others; true by default. */
  mayPreempt?: boolean;
};
