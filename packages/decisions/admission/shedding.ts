/**
 * Load shedding: decides whether a request is refused because it would not end
 * before its deadline.
 *
 * @module
 */

import { computeGuarantee } from "./lending.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { findPosition } from "./request_queue.ts";
import type { RefusalReason, SchedulerAction } from "./scheduler_action.ts";
import type { SchedulerService, SchedulerState } from "./scheduler_state.ts";
import type { Urgency } from "./urgency.ts";

/** Bounds of the `retryAfterMs` of a refusal. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Age in milliseconds beyond which a backlog counts as sustained overload. */
const SUSTAINED_OVERLOAD_MS = 5_000;

/**
 * Share of the time until its deadline that a request may be expected to wait
 * during sustained overload. The drain rate varies, so a queue as long as the
 * deadline allows serves some requests too late; at 0.6 they were a quarter as
 * many, at the same goodput. During short peaks the whole time may be used,
 * since shorter queues cost peaks of 4 pools up to 7% of their requests.
 */
const SUSTAINED_OVERLOAD_WAIT_SHARE = 0.6;

/**
 * Returns whether a request that starts now is likely to end before its
 * deadline. If no request of its service and class runs, only the deadline
 * itself counts: otherwise a run time estimate that is too high would refuse
 * every request and never be corrected.
 *
 * @example
 * ```ts
 * if (!canMeetDeadline(service, request, nowMs)) refuse(request);
 * ```
 */
export function canMeetDeadline(
  service: SchedulerService,
  request: QueuedRequest,
  nowMs: number,
): boolean {
  if (nowMs >= request.deadlineAtMs) return false;
  const { running, runTime } = service.queues[request.urgency];
  return running === 0 || nowMs + runTime.upperBoundMs <= request.deadlineAtMs;
}

/**
 * Returns the time in milliseconds until the given number of requests of a
 * class have started, at the drain rate of the current backlog, or at the rate
 * of the service's guarantee before that is measured.
 *
 * @example
 * ```ts
 * const waitMs = estimateWait(service, { urgency: "normal", ahead: 12 });
 * ```
 */
export function estimateWait(
  service: SchedulerService,
  options: { urgency: Urgency; ahead: number },
): number {
  const queue = service.queues[options.urgency];
  const home = service.pools[0];
  const slots = home === undefined ? 1 : computeGuarantee(home, service);
  const intervalMs = queue.startIntervalMs ??
    queue.runTime.meanMs / Math.max(1, slots);
  return options.ahead * intervalMs;
}

/**
 * Returns the reason to refuse a request on arrival, or undefined to queue it.
 * A request that would start too late is refused now rather than after a wait.
 *
 * @example
 * ```ts
 * const reason = findRefusal(state, request, nowMs);
 * ```
 */
export function findRefusal(
  state: SchedulerState,
  request: QueuedRequest,
  nowMs: number,
): RefusalReason | undefined {
  const service = state.services.get(request.service);
  if (service === undefined) return "unknown-service";
  if (!hasExecutor(state, service, request)) return "no-executor";
  const queue = service.queues[request.urgency];
  if (queue.items.length >= state.maxQueueLength) return "queue-full";
  if (!canMeetDeadline(service, request, nowMs)) return "deadline";
  const { urgency } = request;
  const ahead = findPosition(queue, request);
  const waitMs = estimateWait(service, { urgency, ahead });
  const limitMs = request.deadlineAtMs - nowMs - queue.runTime.upperBoundMs;
  const backlogMs = nowMs - (queue.backlogSinceMs ?? nowMs);
  const share = backlogMs > SUSTAINED_OVERLOAD_MS
    ? SUSTAINED_OVERLOAD_WAIT_SHARE
    : 1;
  return ahead > 0 && waitMs > limitMs * share ? "deadline" : undefined;
}

/** Returns whether any executor, here or elsewhere, may take the request. */
function hasExecutor(
  state: SchedulerState,
  service: SchedulerService,
  request: QueuedRequest,
): boolean {
  for (const pool of service.pools) {
    for (const host of pool.hosts) {
      if (host.isLeaving || host.owned.size === 0) continue;
      if (!request.excludedHosts.includes(host.name)) return true;
    }
  }
  if (request.isForwarded) return false;
  const { pool, overflow } = service.spec;
  return state.remote.some((slots) =>
    slots.pool === pool || overflow.includes(slots.pool)
  );
}

/**
 * Creates the action that refuses a request. Its `retryAfterMs` is the expected
 * time until the current queue of the class has drained.
 *
 * @example
 * ```ts
 * actions.push(createRefusal(state, { request, reason: "deadline" }));
 * ```
 */
export function createRefusal(
  state: SchedulerState,
  options: { request: QueuedRequest; reason: RefusalReason },
): SchedulerAction {
  const { request, reason } = options;
  const service = state.services.get(request.service);
  const { urgency } = request;
  const ahead = service?.queues[urgency].items.length ?? 0;
  const waitMs = service === undefined || reason === "no-executor"
    ? MAX_RETRY_AFTER_MS
    : estimateWait(service, { urgency, ahead });
  const retryAfterMs = Math.ceil(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)),
  );
  return { type: "refuse", id: request.id, reason, retryAfterMs };
}
