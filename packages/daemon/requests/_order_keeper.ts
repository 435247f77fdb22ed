import {
  advanceClaims,
  type ClaimAction,
  type ClaimEvent,
  createClaims,
  findClaim,
} from "@lagoonloom/decisions";
import { ClaimRecord, type LogRecord } from "@lagoonloom/records";
import { createAnswerKeeper } from "./_answer_keeper.ts";
import type { Dispatcher } from "./_dispatcher.ts";
import { withinMs } from "./_forward_order.ts";
import {
  createConfirmation,
  readCompleted,
  readKeptAnswer,
  waitForHolder,
} from "./_holder_calls.ts";
import {
  notRun,
  type Order,
  type OrderOutcome,
  unknownOutcome,
} from "./_order.ts";
import { digestRequest } from "./_order_digests.ts";
import {
  fromShared,
  type SharedOutcome,
  shareOutcome,
  toHeld,
} from "./_shared_outcome.ts";
import { fromWireAnswer } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { HeldOutcome } from "./held_outcome.ts";

/** Time between two looks at a claim that is being decided. */
const DECISION_POLL_MS = 25;

/** Share of the claims in use that is reported, and that ends the report. */
const NEARLY_FULL_SHARE = 0.8;
const ENOUGH_ROOM_SHARE = 0.75;

/** Refusals that need no confirmation by the other entry hosts. */
const CERTAIN_REASONS = new Set(["unknown-service"]);

/** Order that waits for its outcome. */
type Waiting = {
  order: Order;
  key: string;
  refuseNew: string | undefined;
  resolve: (outcome: OrderOutcome) => void;
};

/** Order with the reason for which it is not taken if it is new. */
export type KeyedOrder = {
  order: Order;
  /** Digest of the caller and its idempotency key. */
  key: string;
  refuseNew: string | undefined;
  gone: AbortSignal;
};

/** Runs each order at most once. */
export type OrderKeeper = ReturnType<typeof createOrderKeeper>;

/** Creates the part that carries out the decisions about claims. */
export function createOrderKeeper(
  dependencies: RequestPathDependencies,
  dispatcher: Dispatcher,
) {
  const { settings } = dependencies;
  const state = createClaims({
    member: settings.member,
    incarnation: settings.incarnation,
    ...(settings.claimWindowMs && { windowMs: settings.claimWindowMs }),
    ...(settings.maxClaims && { maxClaims: settings.maxClaims }),
  });
  const answers = createAnswerKeeper(dependencies);
  const confirm = createConfirmation(dependencies);
  const waiting = new Map<string, Waiting>();
  const outcomes = new Map<string, Promise<SharedOutcome>>();
  /** Orders whose outcome another caller waits for too. */
  const joined = new Set<string>();
  /** Whether the claims of the log were folded once since the start. */
  let hasBeenFresh = false;
  let isNearlyFull = false;
  let wakeTimer: NodeJS.Timeout | undefined;
  return {
    run,
    tick,
    foldClaim,
    awaitOutcome,
    /** Whether every claim of this entry host has its end on the log. */
    isIdle: () => state.local.size === 0 && state.pendingEnds.length === 0,
    close() {
      clearTimeout(wakeTimer);
      answers.close();
    },
  };

  function run(keyed: KeyedOrder): Promise<OrderOutcome> {
    const { order, key, refuseNew, gone } = keyed;
    return new Promise((resolve) => {
      gone.addEventListener("abort", () => cancel(order.id, key));
      take({ order, key, refuseNew, resolve });
    });
  }

  function take(entry: Waiting): void {
    const { order, key, refuseNew } = entry;
    waiting.set(order.id, entry);
    advance({
      type: "order-received",
      id: order.id,
      key,
      request: digestRequest(order),
      deadlineAtMs: order.deadlineAtMs,
      ...(refuseNew !== undefined && { refuseNewReason: refuseNew }),
    });
  }

  async function waitElsewhere(
    action: Extract<ClaimAction, { type: "wait-for-holder" }>,
  ): Promise<void> {
    const { id, key, member, incarnation } = action;
    const entry = waiting.get(id);
    waiting.delete(id);
    if (entry === undefined) return;
    const { deadlineAtMs } = entry.order;
    const wait = { key, member, incarnation, deadlineAtMs };
    const outcome = await waitForHolder(state, wait, dependencies);
    if (outcome === "released") take(entry);
    else entry.resolve(outcome);
  }

  /** Ends an order that was not sent when its caller goes. */
  function cancel(id: string, key: string): void {
    advance({ type: "cancelled", id, key });
    if (!joined.has(id)) dispatcher.cancel(id);
  }

  function tick(): void {
    hasBeenFresh ||= dependencies.logIsFresh();
    advance({ type: "members", live: dependencies.liveMembers() });
    advance({ type: "tick" });
    reportUse();
  }

  /** Warns in time before new orders are refused. */
  function reportUse(): void {
    const claims = state.table.size + state.fingerprints.size;
    const limit = state.options.maxClaims;
    dependencies.metrics.setClaims({ count: claims, limit });
    const isNear = claims >= NEARLY_FULL_SHARE * limit;
    if (isNear && !isNearlyFull) {
      dependencies.events.log("claimsNearlyFull", { claims, limit });
    }
    isNearlyFull = isNear ||
      (isNearlyFull && claims >= ENOUGH_ROOM_SHARE * limit);
  }

  function foldClaim(record: LogRecord): void {
    const body = ClaimRecord.safeParse(record.body);
    if (!body.success) return;
    const { id, timeMs } = record;
    hasBeenFresh ||= dependencies.logIsFresh();
    advance({ type: "folded", id, timeMs, body: body.data });
  }

  function advance(event: ClaimEvent): void {
    for (const action of advanceClaims(state, event, dependencies.nowMs())) {
      perform(action);
    }
  }

  function perform(action: ClaimAction): void {
    switch (action.type) {
      case "append":
        void append(action.recordId, action.record);
        return;
      case "wake":
        return wakeAt(action.atMs);
      case "forget":
        outcomes.delete(action.primary);
        joined.delete(action.primary);
        return;
      case "send":
        return send(action.id, action.key);
      case "join":
        return settleWith(action.id, join(action.primary));
      case "read-answer":
        return settleWith(action.id, readCompleted(dependencies, action));
      case "wait-for-holder":
        void waitElsewhere(action);
        return;
      case "refuse":
        return settleWith(action.id, refuse(action));
    }
  }

  function settleWith(
    id: string,
    outcome: OrderOutcome | Promise<OrderOutcome>,
  ): void {
    const entry = waiting.get(id);
    waiting.delete(id);
    if (outcome instanceof Promise) {
      outcome.then(
        (settled) => entry?.resolve(settled),
        () => entry?.resolve(unknownOutcome("internal")),
      );
    } else entry?.resolve(outcome);
  }

  async function append(recordId: string, record: ClaimRecord): Promise<void> {
    const outcome = await dependencies.append("claims", recordId, record)
      .catch(() => ({ type: "unknown" as const }));
    advance({ type: "append-result", recordId, result: outcome.type });
  }

  function wakeAt(atMs: number): void {
    if (wakeTimer !== undefined) return;
    wakeTimer = setTimeout(() => {
      wakeTimer = undefined;
      advance({ type: "tick" });
    }, Math.max(0, atMs - dependencies.nowMs()));
    wakeTimer.unref();
  }

  /** Sends an order whose claim is the first on the log. */
  function send(id: string, key: string): void {
    const entry = waiting.get(id);
    waiting.delete(id);
    if (entry === undefined) {
      return advance({ type: "ended", key, end: "not-run" });
    }
    const ended = dispatcher.run(entry.order);
    outcomes.set(id, ended.then(shareOutcome));
    void ended.then((outcome) => {
      entry.resolve(outcome);
      end(key, outcome);
    });
  }

  function end(key: string, outcome: OrderOutcome): void {
    if (outcome.type === "failed") {
      const end = outcome.notRun ? "not-run" : "unknown";
      return advance({ type: "ended", key, end });
    }
    advance({ type: "ended", key, end: "answered" });
    const shared = shareOutcome(outcome);
    const kept = shared.type === "answer"
      ? answers.keep(key, shared.answer)
      : Promise.resolve(undefined);
    void kept.then((offset) => advance({ type: "answer-kept", key, offset }));
  }

  async function join(primary: string): Promise<OrderOutcome> {
    joined.add(primary);
    const shared = await outcomes.get(primary);
    return shared === undefined
      ? unknownOutcome("outcome-unknown")
      : fromShared(shared);
  }

  async function refuse(
    action: Extract<ClaimAction, { type: "refuse" }>,
  ): Promise<OrderOutcome> {
    const { key, reason } = action;
    if (!action.notRun) return unknownOutcome(reason);
    if (action.isCertain || CERTAIN_REASONS.has(reason)) return notRun(reason);
    const held = await confirm(key);
    if (held.type === "completed") return fromWireAnswer(held.answer);
    return held.type === "not-found" ? notRun(reason) : unknownOutcome(reason);
  }

  /** Whether no claim that was folded elsewhere may be unseen here. */
  function hasSeenClaims(): boolean {
    const { member, incarnation } = settings;
    return hasBeenFresh && dependencies.isCurrentMember(member, incarnation);
  }

  /** Tells another entry host what is known of an order. */
  async function awaitOutcome(
    key: string,
    waitMs: number,
  ): Promise<HeldOutcome> {
    const endAtMs = dependencies.nowMs() + waitMs;
    for (;;) {
      const claim = findClaim(state, key);
      const remainingMs = endAtMs - dependencies.nowMs();
      switch (claim.type) {
        case "none":
          return { type: hasSeenClaims() ? "not-found" : "unknown" };
        case "released":
          return { type: "not-run" };
        case "open":
          return { type: "unknown" };
        case "completed": {
          const { offset } = claim;
          const answer = offset === undefined
            ? undefined
            : await readKeptAnswer(dependencies, { key, offset });
          return answer === undefined
            ? { type: "unknown" }
            : { type: "completed", answer };
        }
        case "local": {
          const shared = await withinMs(
            outcomes.get(claim.primary) ??
              Promise.resolve(unknownOutcome("outcome-unknown")),
            Math.max(0, remainingMs),
          );
          return shared === undefined ? { type: "running" } : toHeld(shared);
        }
        case "deciding":
          if (remainingMs <= 0) return { type: "running" };
          await new Promise((resolve) => setTimeout(resolve, DECISION_POLL_MS));
      }
    }
  }
}
