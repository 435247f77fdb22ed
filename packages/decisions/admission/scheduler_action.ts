/** Reason for which a request is refused before it is sent. */
export type RefusalReason =
  | "unknown-service"
  | "queue-full"
  | "deadline"
  | "no-executor";

/** Output of the scheduler. */
export type SchedulerAction =
  | { type: "start"; id: string; host: string; slot: number }
  | { type: "forward"; id: string; member: string; pool: string }
  | {
    type: "refuse";
    id: string;
    reason: RefusalReason;
    retryAfterMs: number;
  };
