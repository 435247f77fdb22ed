/**
 * Calls of deciders to workers, and their outcomes.
 *
 * @module
 */

import type { JobSize } from "../fold/job_state.ts";
import type { TaskReport } from "./job_observations.ts";

/** Fencing of a call: it names one attempt and the decider's epoch. */
export type TaskFence = {
  job: string;
  attempt: number;
  /** Epoch of the decider; the worker refuses one older than it has seen. */
  epoch: number;
};

/** Call to a worker; the times are on the worker's clock. */
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

/** Task in a report; the times are on the worker's clock. */
export type ReportedTask = TaskReport & { job: string };

/** Report as a worker sends it; the times are on the worker's clock. */
export type WorkerClockReport = {
  /** The worker's clock when it answered, in milliseconds. */
  clockMs: number;
  /** The worker's clock when it collected the report, maybe long before. */
  takenAtMs: number;
  tasks: ReportedTask[];
};

/** Outcome of a call to a worker. */
export type WorkerOutcome =
  | { type: "done"; state: TaskReport["state"] }
  | { type: "report"; report: WorkerClockReport }
  /** The worker refused an outdated attempt, epoch or lease. */
  | { type: "refused"; reason: string }
  /** Nothing was sent. */
  | { type: "unreachable"; reason: string }
  /** No answer came; the next report shows whether the call took effect. */
  | { type: "unknown"; reason: string };
