/** Processors, memory and accelerators of a job. */
export type JobSize = {
  cores: number;
  memory_gb: number;
  accelerators: number;
};

/** Job as the log knows it. */
export type JobState = {
  team: string;
  urgency: "urgent" | "normal" | "deferrable";
  declared: JobSize;
  declaredRunS: number;
  /** Most that an earlier attempt was seen to use, if known. */
  used?: JobSize | undefined;
  dataCentres: string[];
  state: "queued" | "running" | "succeeded" | "cancelled" | "parked";
  /** Attempts begun; a record of another attempt is refused. */
  attempt: number;
  /** Worker of the current attempt. */
  worker: string | undefined;
  /** Log time at which the worker's lease ends, in milliseconds. */
  leaseEndMs: number;
  submittedAtMs: number;
  /** Log time of the last change of state in milliseconds. */
  sinceMs: number;
  /** Different workers on which the job failed. */
  failedWorkers: string[];
  reason: string;
};

/** End of an attempt on a worker. */
export type EndedAttempt = {
  job: string;
  atMs: number;
  outcome: "succeeded" | "failed" | "preempted" | "lost";
};

/** Worker as the log knows it. */
export type WorkerState = {
  state: "suspended" | "trial" | "restored";
  reason: string;
  sinceMs: number;
  /** Suspensions in a row, by which the delay of the next trial grows. */
  suspensions?: number;
  /** Last attempts that ended on the worker, oldest first. */
  recent: EndedAttempt[];
  /** Jobs that run on the worker now. */
  running: string[];
};

/**
 * Charged sizes of a team's running jobs in thousandths. Whole numbers add up
 * to the same sum in any order, which sums of fractions do not.
 */
export type TeamUsage = { cores: number; memory: number; accelerators: number };
