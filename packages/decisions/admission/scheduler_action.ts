/**
 * Actions that the scheduler of an entry host returns.
 *
 * @module
 */

/** Reason why a request is refused before it is sent to an executor. */
export type RefusalReason =
  | "unknown-service"
  | "queue-full"
  | "deadline"
  | "no-executor";

/** Action that the caller of {@linkcode advanceScheduler} has to perform. */
export type SchedulerAction =
  /** Send the request to an executor, in one of its slots. */
  | { type: "start"; id: string; host: string; slot: number }
  /** Send the request to another entry host, for a slot of this pool. */
  | { type: "forward"; id: string; member: string; pool: string }
  /** Answer the request as not run. */
  | {
    type: "refuse";
    id: string;
    reason: RefusalReason;
    /** Time in milliseconds after which the caller may try again. */
    retryAfterMs: number;
  };
