import type { DeciderTerm, PlannedRecord } from "../deciders/planned_record.ts";

/** Call to a worker; `preempt` is a checkpoint followed by a stop. */
export type TaskAction = {
  type: "start" | "throttle" | "checkpoint" | "preempt" | "stop";
  worker: string;
  job: string;
  attempt: number;
  reason: string;
};

/** What a decider does next about the jobs of its data centre. */
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
  /** Records that were appended and whose outcome is not known yet. */
  pending?: readonly PlannedRecord[];
  /** Log time at which the lease of a running job has surely ended. */
  leaseEndsAtMs: (job: string) => number;
  /** Age in milliseconds from which a worker without an answer is silent. */
  silentAfterMs: number;
  /** Duration of a task's lease in milliseconds. */
  leaseMs: number;
  /** Whether urgent jobs may take the place of others; true unless given. */
  mayPreempt?: boolean;
};
