import { type Step, takeNext } from "./dispatch.ts";
import { isBelowGuarantee } from "./lending.ts";
import { noteStart } from "./request_queue.ts";
import {
  countWaiting,
  type SchedulerService,
  type SchedulerState,
} from "./scheduler_state.ts";
import type { RemoteSlots } from "./topology.ts";

/** Times that a request may come back before it only waits here. */
const MAX_RETURNS = 2;

/**
 * Forwards waiting requests of a service to entry hosts that reported free
 * slots, those of the own data centre first. When the service uses its whole
 * guarantee here, it also claims slots of its home pool that others have lent,
 * since callers may reach a few entry hosts only. Each forward spends a
 * reported slot, so that a report is not answered by more requests than slots.
 *
 * @example
 * ```ts
 * forwardWaiting(state, service, { nowMs, actions });
 * ```
 */
export function forwardWaiting(
  state: SchedulerState,
  service: SchedulerService,
  step: Step,
): void {
  while (countWaiting(service) > 0) {
    const free = chooseRemote(state, service);
    const slots = free ?? chooseLent(state, service);
    if (slots === undefined) return;
    const request = takeNext(state, service, {
      ...step,
      canUse: (request) => {
        if (request.isForwarded) return false;
        const returnedBy = state.returnedBy.get(request.id) ?? [];
        return returnedBy.length < MAX_RETURNS &&
          !returnedBy.includes(slots.member);
      },
    });
    if (request === undefined) return;
    const { member, pool } = slots;
    const isForLent = free === undefined;
    if (isForLent) slots.lent = slots.lent! - 1;
    else slots.free--;
    state.forwarded.set(request.id, { request, member, pool, isForLent });
    noteStart(service.queues[request.urgency], step.nowMs);
    step.actions.push({ type: "forward", id: request.id, member, pool });
  }
}

/** Own data centre first, then pools in order, then the most free slots. */
function chooseRemote(
  state: SchedulerState,
  service: SchedulerService,
): RemoteSlots | undefined {
  const pools = [service.spec.pool, ...service.spec.overflow];
  let best: RemoteSlots | undefined;
  let bestRank = Infinity;
  for (const slots of state.remote) {
    const order = pools.indexOf(slots.pool);
    if (slots.free <= 0 || order < 0) continue;
    const rank = (slots.isSameDataCentre ? 0 : pools.length) + order;
    const isBetter = rank < bestRank ||
      (rank === bestRank && slots.free > best!.free);
    if (!isBetter) continue;
    best = slots;
    bestRank = rank;
  }
  return best;
}

/** The entry host with the most lent slots, own data centre first. */
function chooseLent(
  state: SchedulerState,
  service: SchedulerService,
): RemoteSlots | undefined {
  const home = state.pools.get(service.spec.pool);
  if (home !== undefined && isBelowGuarantee(home, service)) return undefined;
  let best: RemoteSlots | undefined;
  for (const slots of state.remote) {
    if (slots.pool !== service.spec.pool || !slots.lent) continue;
    const isBetter = best === undefined ||
      (slots.isSameDataCentre === best.isSameDataCentre
        ? slots.lent > best.lent!
        : slots.isSameDataCentre);
    if (isBetter) best = slots;
  }
  return best;
}

/**
 * Forgets a forwarded request that ended. A lent slot that it used is available
 * to the next request of the same service.
 *
 * @example
 * ```ts
 * endForward(state, event.id);
 * ```
 */
export function endForward(state: SchedulerState, id: string): void {
  const forwarded = state.forwarded.get(id);
  state.forwarded.delete(id);
  state.returnedBy.delete(id);
  if (forwarded === undefined || !forwarded.isForLent) return;
  const slots = state.remote.find((slots) =>
    slots.member === forwarded.member && slots.pool === forwarded.pool
  );
  if (slots !== undefined) slots.lent = (slots.lent ?? 0) + 1;
}

/**
 * Replaces the reported free slots of the entry hosts and pools that are named.
 *
 * @example
 * ```ts
 * updateRemoteSlots(state, event.slots);
 * ```
 */
export function updateRemoteSlots(
  state: SchedulerState,
  reports: readonly RemoteSlots[],
): void {
  for (const report of reports) {
    const known = state.remote.find((slots) =>
      slots.member === report.member && slots.pool === report.pool
    );
    if (known === undefined) state.remote.push({ ...report });
    else Object.assign(known, report);
  }
}
