import type { JobSize } from "../fold/job_state.ts";
import type { TaskReport } from "./job_observations.ts";

/** Fence that every call to a worker carries. */
export type TaskFence = {
  job: string;
  attempt: number;
  /** Epoch of the decider; the worker refuses an older one than it has seen. */
  epoch: number;
};

/** Call to a worker; times are of the worker's own clock. */
export type WorkerCall =
  & { worker: string }
  & (
    | (TaskFence & {
      type: "start";
      leaseEndMs: number;
      /** Time after which the worker refuses the start. */
      startByMs: number;
      size: JobSize;
    })
    | (TaskFence & { type: "throttle" | "checkpoint" | "stop" })
    /** Renews the leases of all running tasks and returns the report. */
    | { type: "renew"; epoch: number; leaseEndMs: number }
    | { type: "report" }
  );

/** Task in a report; times are of the worker's own clock. */
export type ReportedTask = TaskReport & { job: string };

/** Report of a worker, which shows an earlier moment. */
export type WorkerClockReport = {
  /** The worker's clock when it answered, in milliseconds. */
  clockMs: number;
  /** The worker's clock when the tasks were as reported. */
  takenAtMs: number;
  tasks: ReportedTask[];
};

/** Outcome of a call to a worker. */
export type WorkerOutcome =
  | { type: "done"; state: TaskReport["state"] }
  | { type: "report"; report: WorkerClockReport }
  /** The worker judged the attempt, the epoch or the lease as too old. */
  | { type: "refused"; reason: string }
  /** Nothing was sent. */
  | { type: "unreachable"; reason: string }
  /** The answer was lost; the report tells what became of the call. */
  | { type: "unknown"; reason: string };
