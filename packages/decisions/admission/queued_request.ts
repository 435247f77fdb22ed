import type { Urgency } from "./urgency.ts";

/** Request to schedule, with what its scheduling depends on. */
export type QueuedRequest = {
  id: string;
  service: string;
  urgency: Urgency;
  /** Monotonic time of arrival in milliseconds. */
  arrivedAtMs: number;
  /** Monotonic time in milliseconds by which its caller needs the answer. */
  deadlineAtMs: number;
  /** Whether another entry host forwarded it; if so, it is not forwarded on. */
  isForwarded: boolean;
  /** Executors that failed an earlier attempt and are not tried again. */
  excludedHosts: readonly string[];
};
