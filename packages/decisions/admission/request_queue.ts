import type { QueuedRequest } from "./queued_request.ts";
import {
  createRunTimeEstimate,
  type RunTimeEstimate,
} from "./run_time_estimate.ts";

/** Waiting requests of one class of one service. */
export type RequestQueue = {
  /** In the order of their deadlines. */
  items: QueuedRequest[];
  /** Run times of this class, which may differ from those of the others. */
  runTime: RunTimeEstimate;
  /** Requests of this class that run here. */
  running: number;
  /** Moving average of the time between two starts while requests wait. */
  startIntervalMs: number | undefined;
  lastStartAtMs: number;
  /** Whether requests were left waiting at the last start. */
  wasBacklogged: boolean;
  /** Time since which each start left requests waiting. */
  backlogSinceMs: number | undefined;
};

/** Weight of the newest interval between two starts. */
const NEWEST_WEIGHT = 0.1;

/**
 * Returns an empty queue of requests with a declared run time.
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
 * Inserts a request by its deadline, behind requests of the same deadline.
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
 * Returns how many waiting requests have an earlier or the same deadline.
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
 * Notes that a request left the queue for an executor, to learn the rate at
 * which the queue drains.
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
        NEWEST_WEIGHT * (interval - queue.startIntervalMs);
  } else {
    // The rate of an earlier backlog says nothing about a new one.
    queue.startIntervalMs = undefined;
  }
  queue.lastStartAtMs = nowMs;
  queue.wasBacklogged = queue.items.length > 0;
  if (!queue.wasBacklogged) queue.backlogSinceMs = undefined;
  else queue.backlogSinceMs ??= nowMs;
}
