import type { JobSize } from "../fold/job_state.ts";

/** Task as its worker last reported it; times are log times. */
export type TaskReport = {
  attempt: number;
  /** A task is `expired` if its lease ended on the worker. */
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

/** What a worker last reported. */
export type WorkerReport = {
  /** Whether the last exchange with the worker succeeded. */
  isReachable: boolean;
  /** Log time of the last answer in milliseconds. */
  heardAtMs: number;
  /** Log time at which the reported usage was taken, which may be long ago. */
  takenAtMs: number;
  tasks: ReadonlyMap<string, TaskReport>;
};

/** Reports by worker. */
export type JobObservations = ReadonlyMap<string, WorkerReport>;
