/**
 * Moves waiting requests of a pool's services into its free slots.
 *
 * @module
 */

import { chooseHost } from "../routing/mod.ts";
import { orderClasses, recordClassStart } from "./class_order.ts";
import {
  chooseService,
  findAvailableHosts,
  isBelowGuarantee,
  updateBorrowedAverage,
} from "./lending.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { recordStart } from "./request_queue.ts";
import type { SchedulerAction } from "./scheduler_action.ts";
import type {
  SchedulerHost,
  SchedulerPool,
  SchedulerService,
  SchedulerState,
} from "./scheduler_state.ts";
import { canMeetDeadline, createRefusal } from "./shedding.ts";

/** Time of one scheduler event and the actions that it causes. */
export type Step = {
  /** Monotonic time in milliseconds. */
  nowMs: number;
  /** Actions so far; functions append to it. */
  actions: SchedulerAction[];
};

/**
 * Starts waiting requests until the pool has no free slot or no service has a
 * request that may use one.
 *
 * @example
 * ```ts
 * dispatchPool(state, pool, { nowMs, actions });
 * ```
 */
export function dispatchPool(
  state: SchedulerState,
  pool: SchedulerPool,
  step: Step,
): void {
  const skipped = new Set<SchedulerService>();
  for (;;) {
    const hosts = findAvailableHosts(pool, step.nowMs);
    if (hosts.length === 0) return;
    const freeSlots = hosts.reduce((sum, host) => sum + host.free.length, 0);
    const options = { freeSlots, nowMs: step.nowMs, skipped };
    const service = chooseService(pool, options);
    if (service === undefined) return;
    const canUse = (request: QueuedRequest) =>
      hosts.some((host) => !request.excludedHosts.includes(host.name));
    const request = takeNext(state, service, { ...step, canUse });
    if (request === undefined) skipped.add(service);
    else start(state, request, { hosts, pool, service, step });
  }
}

/**
 * Removes and returns the next waiting request of a service that `canUse`
 * accepts. Refuses requests ahead of it that can no longer meet their deadline.
 *
 * @example
 * ```ts
 * const request = takeNext(state, service, { nowMs, actions, canUse });
 * ```
 */
export function takeNext(
  state: SchedulerState,
  service: SchedulerService,
  options: Step & { canUse: (request: QueuedRequest) => boolean },
): QueuedRequest | undefined {
  const { nowMs, actions, canUse } = options;
  for (const urgency of orderClasses(service)) {
    const { items } = service.queues[urgency];
    while (items[0] && !canMeetDeadline(service, items[0], nowMs)) {
      refuseWaiting(state, items.shift()!, actions);
    }
    const index = items.findIndex(canUse);
    if (index < 0) continue;
    const [request] = items.splice(index, 1);
    state.waiting.delete(request!.id);
    return request;
  }
  return undefined;
}

/**
 * Refuses a request that was just removed from its queue because it can no
 * longer meet its deadline or has waited too long.
 *
 * @example
 * ```ts
 * refuseWaiting(state, request, actions);
 * ```
 */
export function refuseWaiting(
  state: SchedulerState,
  request: QueuedRequest,
  actions: SchedulerAction[],
): void {
  state.waiting.delete(request.id);
  state.returnedBy.delete(request.id);
  actions.push(createRefusal(state, { request, reason: "deadline" }));
}

/** Starts a request in a slot of the least loaded of the passed hosts. */
function start(
  state: SchedulerState,
  request: QueuedRequest,
  options: {
    hosts: SchedulerHost[];
    pool: SchedulerPool;
    service: SchedulerService;
    step: Step;
  },
): void {
  const { hosts, pool, service, step } = options;
  const candidates = hosts
    .filter((host) => !request.excludedHosts.includes(host.name))
    .map((host) => ({
      name: host.name,
      health: host.health,
      slotsInUse: host.inUse.size,
      slots: host.owned.size,
      host,
    }));
  const { host } = chooseHost(candidates)!;
  const slot = host.free.shift()!;
  host.inUse.add(slot);
  const isProbe = host.health.state === "ejected";
  if (isProbe) host.health.state = "probing";
  const isBorrowed = !isBelowGuarantee(pool, service);
  state.running.set(request.id, {
    service: service.spec.name,
    urgency: request.urgency,
    startedAtMs: step.nowMs,
    pool: pool.name,
    host: host.name,
    slot,
    isBorrowed,
    isProbe,
  });
  state.returnedBy.delete(request.id);
  updateBorrowedAverage(service, step.nowMs);
  service.running++;
  service.queues[request.urgency].running++;
  const running = service.runningByPool.get(pool.name) ?? 0;
  service.runningByPool.set(pool.name, running + 1);
  recordStart(service.queues[request.urgency], step.nowMs);
  recordClassStart(service, request.urgency);
  step.actions.push({ type: "start", id: request.id, host: host.name, slot });
}
