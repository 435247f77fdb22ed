/**
 * Reports of workers on their tasks, converted to log time.
 *
 * @module
 */

import type { JobSize } from "../fold/job_state.ts";

/** Task as its worker last reported it; the times are log times. */
export type TaskReport = {
  attempt: number;
  /** State; `expired` if the lease of the task ended on the worker. */
  state:
    | "running"
    | "throttled"
    | "succeeded"
    | "failed"
    | "stopped"
    | "expired";
  used: JobSize;
  startedAtMs: number;
  throttledAtMs?: number | undefined;
  checkpointedAtMs?: number | undefined;
};

/** Last report of a worker, and when it last answered. */
export type WorkerReport = {
  /** Whether the worker answered the last call. */
  isReachable: boolean;
  /** Log time of the last answer in milliseconds. */
  heardAtMs: number;
  /** Log time at which the worker measured the usage, which may be long ago. */
  takenAtMs: number;
  tasks: ReadonlyMap<string, TaskReport>;
};

/** Last reports by name of the worker. */
export type JobObservations = ReadonlyMap<string, WorkerReport>;
