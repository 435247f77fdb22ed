import { type Step, takeNext } from "./dispatch.ts";
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
 * slots, those of the own data centre first. Each forward spends a reported
 * slot, so that one report is not answered by more requests than it has slots.
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
    const slots = chooseRemote(state, service);
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
    slots.free--;
    const { member, pool } = slots;
    state.forwarded.set(request.id, { request, member, pool });
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
