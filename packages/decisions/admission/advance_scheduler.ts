import { ejectOutliers, recordResult } from "../routing/mod.ts";
import { addArrival } from "./arrival_rate.ts";
import { dispatchPool, refuseWaiting, type Step } from "./dispatch.ts";
import {
  blockRemote,
  endForward,
  forwardWaiting,
  updateRemoteSlots,
} from "./forwarding.ts";
import { computeGuarantee, updateBorrowedAverage } from "./lending.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { insertRequest, type RequestQueue } from "./request_queue.ts";
import { addRunTime, raiseByRunningAges } from "./run_time_estimate.ts";
import type { SchedulerAction } from "./scheduler_action.ts";
import type { SchedulerEvent } from "./scheduler_event.ts";
import {
  applyTopology,
  countWaiting,
  type RunningRequest,
  type SchedulerPool,
  type SchedulerService,
  type SchedulerState,
} from "./scheduler_state.ts";
import { canMeetDeadline, createRefusal, findRefusal } from "./shedding.ts";
import { Urgency } from "./urgency.ts";

/** Weight of the newest sample in a pool's average borrowed run time. */
const BORROWED_RUN_TIME_WEIGHT = 0.1;

/** Event that a running request has ended. */
type Finished = Extract<SchedulerEvent, { type: "finished" }>;

/**
 * Applies one event to the scheduler of an entry host and returns the actions
 * to perform. Mutates the state.
 *
 * Each request that arrives gets exactly one `start`, `forward` or `refuse`,
 * and one more each time a forwarded request is `returned`. Pass a `tick` at
 * least every 100 ms: requests that expire and probes that become due cause no
 * event of their own.
 *
 * @example
 * ```ts
 * const event = { type: "arrived", request } as const;
 * for (const action of advanceScheduler(state, event, performance.now())) {
 *   perform(action);
 * }
 * ```
 */
export function advanceScheduler(
  state: SchedulerState,
  event: SchedulerEvent,
  nowMs: number,
): SchedulerAction[] {
  const step: Step = { nowMs, actions: [] };
  switch (event.type) {
    case "arrived":
      handleArrival(state, event.request, step);
      break;
    case "finished":
      handleFinished(state, event, step);
      break;
    case "cancelled":
      removeWaiting(state, event.id);
      break;
    case "returned":
      requeueReturned(state, event, step);
      break;
    case "forward-ended":
      endForward(state, event.id);
      state.returnedBy.delete(event.id);
      forwardAll(state, step);
      break;
    case "topology":
      changeTopology(state, event, step);
      break;
    case "remote-slots":
      updateRemoteSlots(state, event.slots);
      forwardAll(state, step);
      break;
    case "tick":
      raiseRunTimeEstimates(state, step.nowMs);
      refuseExpired(state, step);
      dispatchAll(state, step);
  }
  return step.actions;
}

function handleArrival(
  state: SchedulerState,
  request: QueuedRequest,
  step: Step,
): void {
  const { id } = request;
  if (state.waiting.has(id) || state.running.has(id)) return;
  if (state.forwarded.has(id)) return;
  const service = state.services.get(request.service);
  if (service !== undefined) addArrival(service.arrivals, step.nowMs);
  enqueue(state, request, step);
  // Another entry host forwards a request only for a slot that this one
  // reported as free or lent. If that slot is taken, the request goes back and
  // waits in the sender's queue, unless the service's guarantee covers it.
  if (!request.isForwarded || isWithinGuarantee(service, state)) return;
  if (!removeWaiting(state, id)) return;
  step.actions.push(createRefusal(state, { request, reason: "queue-full" }));
}

/**
 * Returns whether a service's guarantee in its home pool covers its running and
 * waiting requests.
 */
function isWithinGuarantee(
  service: SchedulerService | undefined,
  state: SchedulerState,
): boolean {
  const home = state.pools.get(service?.spec.pool ?? "");
  if (service === undefined || home === undefined) return false;
  const running = service.runningByPool.get(home.name) ?? 0;
  return running + countWaiting(service) <= computeGuarantee(home, service);
}

/**
 * Queues a request or refuses it, then starts or forwards waiting requests of
 * its service as far as slots are available.
 */
function enqueue(
  state: SchedulerState,
  request: QueuedRequest,
  step: Step,
): void {
  const reason = findRefusal(state, request, step.nowMs);
  if (reason !== undefined) {
    state.returnedBy.delete(request.id);
    step.actions.push(createRefusal(state, { request, reason }));
    return;
  }
  const service = state.services.get(request.service)!;
  const { id, urgency } = request;
  insertRequest(service.queues[urgency], request);
  state.waiting.set(id, { service: request.service, urgency });
  for (const pool of service.pools) dispatchPool(state, pool, step);
  forwardWaiting(state, service, step);
}

function handleFinished(
  state: SchedulerState,
  event: Finished,
  step: Step,
): void {
  const running = state.running.get(event.id);
  if (running === undefined) return;
  state.running.delete(event.id);
  const service = state.services.get(running.service);
  if (service !== undefined) {
    updateBorrowedAverage(service, step.nowMs);
    recordCompletion(service, running, event);
  }
  const pool = state.pools.get(running.pool);
  if (pool !== undefined && running.isBorrowed) {
    const weight = pool.borrowedRunMs === 0 ? 1 : BORROWED_RUN_TIME_WEIGHT;
    pool.borrowedRunMs += weight * (event.runMs - pool.borrowedRunMs);
  }
  const host = state.hosts.get(running.host);
  if (host === undefined) return;
  host.inUse.delete(running.slot);
  if (host.owned.has(running.slot)) host.free.push(running.slot);
  recordResult(host.health, {
    result: event.result,
    runMs: event.runMs,
    expectedRunMs: service?.runTime.meanMs ?? event.runMs,
    nowMs: step.nowMs,
    isProbe: running.isProbe,
  });
  if (pool === undefined) return;
  ejectOutliers(pool.hosts.map((host) => host.health), {
    nowMs: step.nowMs,
    ...(pool.size === undefined ? {} : { poolSize: pool.size }),
  });
  dispatchPool(state, pool, step);
}

function recordCompletion(
  service: SchedulerService,
  { pool, urgency }: RunningRequest,
  event: Finished,
): void {
  const queue = service.queues[urgency];
  service.running--;
  queue.running--;
  const count = service.runningByPool.get(pool)! - 1;
  if (count > 0) service.runningByPool.set(pool, count);
  else service.runningByPool.delete(pool);
  // An abandoned request would have run for longer, so the time of a request
  // that did not succeed counts only if it is above the estimate.
  const isSample = event.result === "succeeded" ||
    event.runMs > queue.runTime.upperBoundMs;
  if (!isSample) return;
  addRunTime(service.runTime, event.runMs);
  addRunTime(queue.runTime, event.runMs);
}

function removeWaiting(state: SchedulerState, id: string): boolean {
  const place = state.waiting.get(id);
  if (place === undefined) return false;
  state.waiting.delete(id);
  state.returnedBy.delete(id);
  const queue = state.services.get(place.service)?.queues[place.urgency];
  const index = queue?.items.findIndex((item) => item.id === id) ?? -1;
  if (index >= 0) queue!.items.splice(index, 1);
  return true;
}

function requeueReturned(
  state: SchedulerState,
  event: Extract<SchedulerEvent, { type: "returned" }>,
  step: Step,
): void {
  const forwarded = endForward(state, event.id);
  if (forwarded === undefined) return;
  blockRemote(state, forwarded, step.nowMs);
  const returnedBy = state.returnedBy.get(event.id) ?? [];
  state.returnedBy.set(event.id, [...returnedBy, event.member]);
  enqueue(state, forwarded.request, step);
}

function changeTopology(
  state: SchedulerState,
  event: Extract<SchedulerEvent, { type: "topology" }>,
  step: Step,
): void {
  const servicesBefore = [...state.services.values()];
  applyTopology(state, event.topology);
  for (const service of servicesBefore) {
    if (state.services.has(service.spec.name)) continue;
    for (const urgency of Urgency.options) {
      for (const request of service.queues[urgency].items) {
        state.waiting.delete(request.id);
        state.returnedBy.delete(request.id);
        const reason = "unknown-service";
        step.actions.push(createRefusal(state, { request, reason }));
      }
    }
  }
  dispatchAll(state, step);
}

/** Raises the run time estimates of classes whose requests run for long. */
function raiseRunTimeEstimates(state: SchedulerState, nowMs: number): void {
  const ages = new Map<RequestQueue, number[]>();
  for (const { service, urgency, startedAtMs } of state.running.values()) {
    const queue = state.services.get(service)?.queues[urgency];
    if (queue === undefined) continue;
    const known = ages.get(queue);
    if (known === undefined) ages.set(queue, [nowMs - startedAtMs]);
    else known.push(nowMs - startedAtMs);
  }
  for (const [queue, agesMs] of ages) raiseByRunningAges(queue.runTime, agesMs);
}

/**
 * Refuses waiting requests that can no longer meet their deadline or have
 * waited longer than the maximum.
 */
function refuseExpired(state: SchedulerState, step: Step): void {
  for (const service of state.services.values()) {
    for (const urgency of Urgency.options) {
      const queue = service.queues[urgency];
      const isExpired = (request: QueuedRequest) =>
        !canMeetDeadline(service, request, step.nowMs) ||
        step.nowMs - request.arrivedAtMs > state.maxWaitMs;
      const expired = queue.items.filter(isExpired);
      if (expired.length === 0) continue;
      queue.items = queue.items.filter((item) => !expired.includes(item));
      for (const item of expired) refuseWaiting(state, item, step.actions);
    }
  }
}

function dispatchAll(state: SchedulerState, step: Step): void {
  const pools: Iterable<SchedulerPool> = state.pools.values();
  for (const pool of pools) dispatchPool(state, pool, step);
  forwardAll(state, step);
}

function forwardAll(state: SchedulerState, step: Step): void {
  for (const service of state.services.values()) {
    forwardWaiting(state, service, step);
  }
}
