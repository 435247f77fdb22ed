/**
 * Queue of the waiting requests of one priority class of a service, earliest
 * deadline first, with the rate at which it drains.
 *
 * @module
 */

import type { QueuedRequest } from "./queued_request.ts";
import {
  createRunTimeEstimate,
  type RunTimeEstimate,
} from "./run_time_estimate.ts";

/** Waiting requests of one class of one service. */
export type RequestQueue = {
  /** Waiting requests, earliest deadline first. */
  items: QueuedRequest[];
  /** Run times of this class, which may differ from those of other classes. */
  runTime: RunTimeEstimate;
  /** Requests of this class that run here. */
  running: number;
  /**
   * Moving average of the milliseconds between two starts while requests wait;
   * undefined before the second start of a backlog.
   */
  startIntervalMs: number | undefined;
  /** Monotonic time of the last start in milliseconds. */
  lastStartAtMs: number;
  /** Whether requests were still waiting after the last start. */
  wasBacklogged: boolean;
  /**
   * Monotonic time in milliseconds since which requests were still waiting
   * after each start; undefined without a backlog.
   */
  backlogSinceMs: number | undefined;
};

/** Weight of the newest interval in the moving average. */
const INTERVAL_WEIGHT = 0.1;

/**
 * Creates an empty queue for requests with a declared run time.
 *
 * @example
 * ```ts
 * const queue = createRequestQueue(80);
 * ```
 */
export function createRequestQueue(runTimeMs: number): RequestQueue {
  return {
    items: [],
    runTime: createRunTimeEstimate(runTimeMs),
    running: 0,
    startIntervalMs: undefined,
    lastStartAtMs: 0,
    wasBacklogged: false,
    backlogSinceMs: undefined,
  };
}

/**
 * Inserts a request by its deadline, behind requests with the same deadline.
 *
 * @example
 * ```ts
 * insertRequest(queue, request);
 * ```
 */
export function insertRequest(
  queue: RequestQueue,
  request: QueuedRequest,
): void {
  queue.items.splice(findPosition(queue, request), 0, request);
}

/**
 * Returns the number of waiting requests with an earlier or the same deadline.
 *
 * @example
 * ```ts
 * const ahead = findPosition(queue, request);
 * ```
 */
export function findPosition(
  queue: RequestQueue,
  request: QueuedRequest,
): number {
  let index = queue.items.length;
  const { deadlineAtMs } = request;
  while (index > 0 && queue.items[index - 1]!.deadlineAtMs > deadlineAtMs) {
    index--;
  }
  return index;
}

/**
 * Records that a request left the queue to run, here or at another entry host,
 * and updates the rate at which the queue drains.
 *
 * @example
 * ```ts
 * recordStart(queue, nowMs);
 * ```
 */
export function recordStart(queue: RequestQueue, nowMs: number): void {
  if (queue.wasBacklogged) {
    const interval = nowMs - queue.lastStartAtMs;
    queue.startIntervalMs = queue.startIntervalMs === undefined
      ? interval
      : queue.startIntervalMs +
        INTERVAL_WEIGHT * (interval - queue.startIntervalMs);
  } else {
    // The rate of an earlier backlog says nothing about a new one.
    queue.startIntervalMs = undefined;
  }
  queue.lastStartAtMs = nowMs;
  queue.wasBacklogged = queue.items.length > 0;
  if (!queue.wasBacklogged) queue.backlogSinceMs = undefined;
  else queue.backlogSinceMs ??= nowMs;
}
