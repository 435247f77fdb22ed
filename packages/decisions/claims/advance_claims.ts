import { addEnd, flushEntries, handleAppendResult } from "./_append_batch.ts";
import { foldBatch } from "./_fold_claims.ts";
import type { ClaimAction } from "./claim_action.ts";
import type { ClaimEvent, OrderEnd } from "./claim_event.ts";
import type { ClaimsState, LocalClaim } from "./claims_state.ts";

/** Request with an idempotency key. */
type Order = Omit<Extract<ClaimEvent, { type: "order-received" }>, "type">;

/**
 * Applies one event to the claims of an entry host and returns the actions to
 * perform. Mutates the state.
 *
 * An order is a request with an idempotency key. Its key is claimed on the log,
 * and it runs only if that claim is the first. An order with the same key and
 * content is a repeat, and gets the outcome of the first one.
 *
 * @example
 * ```ts
 * const state = createClaims({ member: "entry-1", incarnation: "1" });
 * advanceClaims(state, { type: "members", live: 9 }, 0);
 * ```
 */
export function advanceClaims(
  state: ClaimsState,
  event: ClaimEvent,
  nowMs: number,
): ClaimAction[] {
  const actions = applyEvent(state, event, nowMs);
  return [...actions, ...flushEntries(state, nowMs)];
}

function applyEvent(
  state: ClaimsState,
  event: ClaimEvent,
  nowMs: number,
): ClaimAction[] {
  switch (event.type) {
    case "order-received":
      return receiveOrder(state, event);
    case "append-result":
      handleAppendResult(state, event, nowMs);
      return [];
    case "folded":
      return foldBatch(state, event, {
        nowMs,
        resubmit: (order) => receiveOrder(state, order),
      });
    case "ended":
      return endOrder(state, event, nowMs);
    case "answer-kept":
      return recordAnswer(state, event, nowMs);
    case "members":
      state.liveMembers = Math.max(1, event.live);
      return [];
    case "cancelled":
      removeOrder(state, event);
      return [];
    case "tick":
      return expireOrders(state, nowMs);
  }
}

/** Claims the key of an order, or handles it as a repeat, or refuses it. */
function receiveOrder(state: ClaimsState, order: Order): ClaimAction[] {
  const { id, key, request, deadlineAtMs } = order;
  const local = state.local.get(key);
  if (local !== undefined) return repeatLocalOrder(local, order);
  const position = state.table.find(key);
  if (position >= 0) return repeatFoldedOrder(state, order, position);
  if (state.fingerprints.has(key)) {
    return [refuse(order, { notRun: false, reason: "claimed-before" })];
  }
  if (order.refuseNewReason !== undefined) {
    return [refuse(order, { notRun: true, reason: order.refuseNewReason })];
  }
  if (state.table.size + state.fingerprints.size >= state.options.maxClaims) {
    return [refuse(order, { notRun: true, reason: "claims-full" })];
  }
  const claim: LocalClaim = {
    key,
    request,
    phase: "queued",
    orders: [{ id, deadlineAtMs }],
    primary: undefined,
    waitingForRelease: [],
  };
  state.local.set(key, claim);
  state.pendingClaims.push(claim);
  return [];
}

/** Handles an order whose key this process has claimed or is claiming. */
function repeatLocalOrder(local: LocalClaim, order: Order): ClaimAction[] {
  const { id, request, deadlineAtMs } = order;
  if (local.phase === "releasing") {
    local.waitingForRelease.push({ id, request, deadlineAtMs });
    return [];
  }
  if (local.request !== request) {
    // Without an order, the claim will be released and the key is then free.
    const isAbandoned = local.primary === undefined &&
      local.orders.length === 0;
    const reason = isAbandoned ? "claim-pending" : "key-reused";
    return [refuse(order, { notRun: true, isCertain: true, reason })];
  }
  if (local.primary !== undefined) {
    return [{ type: "join", id, primary: local.primary }];
  }
  local.orders.push({ id, deadlineAtMs });
  return [];
}

/** Handles an order whose key has a claim on the log and no local state. */
function repeatFoldedOrder(
  state: ClaimsState,
  order: Order,
  position: number,
): ClaimAction[] {
  const { id, key } = order;
  if (!state.table.matches(position, order.request)) {
    const reason = "key-reused";
    return [refuse(order, { notRun: true, isCertain: true, reason })];
  }
  const claim = state.table.view(position);
  if (claim.answerOffset !== undefined) {
    return [{ type: "read-answer", id, key, offset: claim.answerOffset }];
  }
  if (claim.state === "completed") {
    return [refuse(order, { notRun: false, reason: "answer-not-kept" })];
  }
  const holder = state.holders.get(claim.holder);
  const { member, incarnation } = state.options;
  const isOwn = holder?.member === member && holder.incarnation === incarnation;
  if (holder === undefined || isOwn) {
    return [refuse(order, { notRun: false, reason: "outcome-unknown" })];
  }
  return [{
    type: "wait-for-holder",
    id,
    key,
    member: holder.member,
    incarnation: holder.incarnation,
  }];
}

/** Handles the end of the order that was sent for a claim. */
function endOrder(
  state: ClaimsState,
  event: { key: string; end: OrderEnd },
  nowMs: number,
): ClaimAction[] {
  const { key, end } = event;
  const local = state.local.get(key);
  if (local?.phase !== "running") return [];
  switch (end) {
    case "answered":
      local.phase = "completing";
      return [];
    case "not-run":
      local.phase = "releasing";
      addEnd(state, { type: "released", key }, nowMs);
      return [];
    case "unknown":
      // The claim stays open in the table, so repeats get an unknown outcome.
      state.local.delete(key);
      return [{ type: "forget", primary: local.primary! }];
  }
}

/** Completes a claim once its answer is stored or will not be. */
function recordAnswer(
  state: ClaimsState,
  event: { key: string; offset: number | undefined },
  nowMs: number,
): ClaimAction[] {
  const { key, offset } = event;
  if (state.local.get(key)?.phase !== "completing") return [];
  const answer = offset === undefined ? {} : { answerOffset: offset };
  addEnd(state, { type: "completed", key, ...answer }, nowMs);
  return [];
}

/**
 * Removes a waiting order, and returns whether there was one. Drops its claim
 * if that is not appended yet; otherwise the claim is released when it is
 * folded without an order that waits.
 */
function removeOrder(
  state: ClaimsState,
  order: { id: string; key: string },
): boolean {
  const local = state.local.get(order.key);
  if (local === undefined) return false;
  const isOther = ({ id }: { id: string }) => id !== order.id;
  const count = local.orders.length + local.waitingForRelease.length;
  local.orders = local.orders.filter(isOther);
  local.waitingForRelease = local.waitingForRelease.filter(isOther);
  if (local.phase === "queued" && local.orders.length === 0) {
    local.phase = "releasing";
    state.local.delete(local.key);
  }
  return local.orders.length + local.waitingForRelease.length < count;
}

/** Refuses waiting orders whose deadline has passed. */
function expireOrders(state: ClaimsState, nowMs: number): ClaimAction[] {
  const actions: ClaimAction[] = [];
  for (const local of [...state.local.values()]) {
    for (
      const { id, deadlineAtMs } of [
        ...local.orders,
        ...local.waitingForRelease,
      ]
    ) {
      if (deadlineAtMs > nowMs) continue;
      const order = { id, key: local.key };
      // While the own claim is being released, no other process can have one,
      // and the order that held it provably did not run.
      const isCertain = local.phase === "releasing";
      removeOrder(state, order);
      const reason = "claim-timeout";
      actions.push(refuse(order, { notRun: true, isCertain, reason }));
    }
  }
  return actions;
}

function refuse(
  order: { id: string; key: string },
  options: { notRun: boolean; reason: string; isCertain?: boolean },
): ClaimAction {
  const { id, key } = order;
  const { notRun, reason, isCertain = !notRun } = options;
  return { type: "refuse", id, key, notRun, isCertain, reason };
}
