/**
 * Forwards waiting requests to other entry hosts that reported free or lent
 * slots, and tracks the slots that they reported.
 *
 * @module
 */

import { type Step, takeNext } from "./dispatch.ts";
import { isBelowGuarantee } from "./lending.ts";
import { recordStart } from "./request_queue.ts";
import {
  countWaiting,
  type ForwardedRequest,
  type RemotePool,
  type SchedulerService,
  type SchedulerState,
} from "./scheduler_state.ts";
import type { RemoteSlots } from "./topology.ts";

/** Number of times that a request may be returned before it only waits here. */
const MAX_RETURNS = 2;

/**
 * Time in milliseconds without forwards to a pool of an entry host that
 * returned one. At 1 s, desks whose callers reach only 3 entry hosts kept 4%
 * less of their goodput in floods.
 */
const FORWARD_BLOCK_MS = 250;

/**
 * Forwards waiting requests of a service to entry hosts that reported free
 * slots, those of the same data centre first.
 *
 * Once the service uses its whole guarantee here, it also forwards to entry
 * hosts that lent slots of its home pool to other services: its callers may
 * reach only a few entry hosts, whose part of the guarantee is less than the
 * whole.
 *
 * Each forward uses up one reported slot, and only a changed report resets the
 * count. An old or repeated report therefore attracts no more requests than it
 * has slots, which avoids a thundering herd.
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
    const free = chooseRemoteFree(state, service, step.nowMs);
    const slots = free ?? chooseRemoteLent(state, service, step.nowMs);
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
    if (isForLent) slots.sentForLent++;
    else slots.sentForFree++;
    state.forwarded.set(request.id, { request, member, pool, isForLent });
    recordStart(service.queues[request.urgency], step.nowMs);
    step.actions.push({ type: "forward", id: request.id, member, pool });
  }
}

/**
 * Returns the reported pool with free slots to forward to: of the same data
 * centre first, then by the service's order of pools, then by free slots.
 */
function chooseRemoteFree(
  state: SchedulerState,
  service: SchedulerService,
  nowMs: number,
): RemotePool | undefined {
  const pools = [service.spec.pool, ...service.spec.overflow];
  let best: RemotePool | undefined;
  let bestRank = Infinity;
  let bestFree = 0;
  for (const slots of state.remote) {
    const order = pools.indexOf(slots.pool);
    const free = slots.free - slots.sentForFree;
    if (free <= 0 || order < 0 || nowMs < slots.freeBlockedUntilMs) continue;
    const rank = (slots.isSameDataCentre ? 0 : pools.length) + order;
    if (rank > bestRank || (rank === bestRank && free <= bestFree)) continue;
    best = slots;
    bestRank = rank;
    bestFree = free;
  }
  return best;
}

/**
 * Returns the entry host with the most lent slots of the service's home pool,
 * of the same data centre first. Returns undefined while the service is below
 * its guarantee here, since a slot here then returns to it.
 */
function chooseRemoteLent(
  state: SchedulerState,
  service: SchedulerService,
  nowMs: number,
): RemotePool | undefined {
  const home = state.pools.get(service.spec.pool);
  if (home !== undefined && isBelowGuarantee(home, service)) return undefined;
  let best: RemotePool | undefined;
  let bestLent = 0;
  for (const slots of state.remote) {
    const lent = (slots.lent ?? 0) - slots.sentForLent;
    if (slots.pool !== service.spec.pool || lent <= 0) continue;
    if (nowMs < slots.lentBlockedUntilMs) continue;
    const isBetter = best === undefined ||
      (slots.isSameDataCentre === best.isSameDataCentre
        ? lent > bestLent
        : slots.isSameDataCentre);
    if (!isBetter) continue;
    best = slots;
    bestLent = lent;
  }
  return best;
}

/**
 * Removes and returns a forwarded request that ended or came back, and counts
 * the reported slot that it used as available again.
 *
 * @example
 * ```ts
 * endForward(state, event.id);
 * ```
 */
export function endForward(
  state: SchedulerState,
  id: string,
): ForwardedRequest | undefined {
  const forwarded = state.forwarded.get(id);
  if (forwarded === undefined) return undefined;
  state.forwarded.delete(id);
  const { member, pool, isForLent } = forwarded;
  const slots = findRemote(state, member, pool);
  // `sentForLent` may become negative. A request that was sent before the
  // current report occupied a lent slot that the report therefore left out, and
  // that slot is again available to its owner. A free slot may go to any
  // service, so its count stops at zero.
  if (slots !== undefined && isForLent) slots.sentForLent--;
  else if (slots !== undefined && slots.sentForFree > 0) slots.sentForFree--;
  return forwarded;
}

/**
 * Suspends forwards to a pool of an entry host that returned a request, for the
 * time that a newer report of its slots needs to arrive.
 *
 * @example
 * ```ts
 * blockRemote(state, forwarded, nowMs);
 * ```
 */
export function blockRemote(
  state: SchedulerState,
  forwarded: ForwardedRequest,
  nowMs: number,
): void {
  const slots = findRemote(state, forwarded.member, forwarded.pool);
  if (slots === undefined) return;
  if (forwarded.isForLent) slots.lentBlockedUntilMs = nowMs + FORWARD_BLOCK_MS;
  else slots.freeBlockedUntilMs = nowMs + FORWARD_BLOCK_MS;
}

function findRemote(
  state: SchedulerState,
  member: string,
  pool: string,
): RemotePool | undefined {
  return state.remote.find((slots) =>
    slots.member === member && slots.pool === pool
  );
}

/**
 * Replaces the reported slots of the entry hosts and pools in the reports. A
 * report with the same counts as the last one is ignored, since it may be the
 * same report again, and its slots may have been used.
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
    const known = findRemote(state, report.member, report.pool);
    const isSame = known?.free === report.free && known.lent === report.lent;
    if (isSame && known !== undefined) continue;
    const fresh: RemotePool = {
      ...report,
      sentForFree: 0,
      sentForLent: 0,
      freeBlockedUntilMs: 0,
      lentBlockedUntilMs: 0,
    };
    if (known === undefined) state.remote.push(fresh);
    else Object.assign(known, fresh);
  }
}
