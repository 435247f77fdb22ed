/**
 * State of jobs and workers that results from the records of the stream
 * `control`. It is encoded in checkpoints, so its field names are fixed.
 *
 * @module
 */

/** Processor cores, memory in GB and accelerators of a job. */
export type JobSize = {
  cores: number;
  memory_gb: number;
  accelerators: number;
};

/** State of a job. */
export type JobState = {
  team: string;
  urgency: "urgent" | "normal" | "deferrable";
  declared: JobSize;
  declaredRunS: number;
  /** Size that replaces the declared one, learned from an earlier attempt. */
  used?: JobSize | undefined;
  dataCentres: string[];
  state: "queued" | "running" | "succeeded" | "cancelled" | "parked";
  /** Number of started attempts; records of earlier ones are refused. */
  attempt: number;
  /** Worker of the current attempt, if the job runs. */
  worker: string | undefined;
  /** Log time at which the worker's lease ends, in milliseconds. */
  leaseEndMs: number;
  submittedAtMs: number;
  /** Log time of the last change of state in milliseconds. */
  sinceMs: number;
  /** Workers on which the job failed, each once. */
  failedWorkers: string[];
  reason: string;
};

/** Ended attempt to run a job on a worker. */
export type EndedAttempt = {
  job: string;
  atMs: number;
  outcome: "succeeded" | "failed" | "preempted" | "lost";
};

/** State of a worker. */
export type WorkerState = {
  state: "suspended" | "trial" | "restored";
  reason: string;
  sinceMs: number;
  /** Consecutive suspensions, which increase the delay of the next trial. */
  suspensions?: number;
  /** Last attempts that ended on the worker, oldest first. */
  recent: EndedAttempt[];
  /** Ids of the jobs that run on the worker. */
  running: string[];
};

/**
 * Resources that a team's running jobs use, in thousandths of a core, GB and
 * accelerator. They are integers, since a sum of floating-point numbers depends
 * on the order of its terms, which differs between daemons.
 */
export type TeamUsage = { cores: number; memory: number; accelerators: number };
