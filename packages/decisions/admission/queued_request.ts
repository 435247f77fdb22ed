import type { Urgency } from "./urgency.ts";

/** What the scheduler knows of a request. */
export type QueuedRequest = {
  id: string;
  service: string;
  urgency: Urgency;
  /** Monotonic time of arrival in milliseconds. */
  arrivedAtMs: number;
  /** Monotonic time in milliseconds after which the answer is useless. */
  deadlineAtMs: number;
  /** Whether another entry host forwarded it; it is not forwarded again. */
  isForwarded: boolean;
  /** Hosts that failed this request before and are not used again. */
  excludedHosts: readonly string[];
};
