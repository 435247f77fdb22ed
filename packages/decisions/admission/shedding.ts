import { computeGuarantee } from "./lending.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { findPosition } from "./request_queue.ts";
import type { RefusalReason, SchedulerAction } from "./scheduler_action.ts";
import type { SchedulerService, SchedulerState } from "./scheduler_state.ts";
import type { Urgency } from "./urgency.ts";

/** Shortest and longest `retryAfterMs` of a refusal. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Age in milliseconds from which a backlog counts as a lasting overload. */
const SUSTAINED_OVERLOAD_MS = 5_000;

/**
 * Part of the time until its deadline that a request may be planned to wait in
 * a lasting overload. The measured rate varies, and a queue as long as the
 * deadline allows serves a part too late; a queue of 0.6 of it did so for a
 * quarter as many at the same goodput. A short peak may use the whole time,
 * since shorter queues cost peaks of 4 pools up to 7% of their requests.
 */
const SUSTAINED_OVERLOAD_WAIT_SHARE = 0.6;

/**
 * Tells whether a request that starts now probably ends before its deadline. A
 * class of a service of which nothing runs may always try one, since an
 * estimate that is too high would otherwise never be corrected.
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
 * class have started, at the measured rate of the current backlog, or at the
 * guaranteed rate before there is a measurement.
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
 * Returns the reason against queueing a request, if there is one. A request
 * that would start too late is refused on arrival rather than after a wait.
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

/** Whether any executor, here or at another entry host, may take it. */
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
 * Returns the action that refuses a request. `retryAfterMs` is the time in
 * which the present queue of its class drains.
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
