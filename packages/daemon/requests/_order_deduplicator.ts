/**
 * Deduplication of orders by their idempotency keys.
 *
 * @module
 */

import {
  advanceClaims,
  type ClaimAction,
  type ClaimEvent,
  createClaims,
  findClaim,
} from "@lagoonloom/decisions";
import { ClaimRecord, type LogRecord } from "@lagoonloom/records";
import { createAnswerWriter } from "./_answer_writer.ts";
import type { Dispatcher } from "./_dispatcher.ts";
import { withTimeout } from "./_forward_request.ts";
import {
  awaitHolderOutcome,
  createPeerQuery,
  readCompletedOutcome,
  readKeptAnswer,
} from "./_outcome_lookups.ts";
import {
  notRunOutcome,
  type RequestOutcome,
  type RoutedRequest,
  unknownOutcome,
} from "./_routed_request.ts";
import { digestRequest } from "./_request_digests.ts";
import {
  fromSharedOutcome,
  type SharedOutcome,
  toKnownOutcome,
  toSharedOutcome,
} from "./_shared_outcome.ts";
import { fromWireAnswer } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { KnownOutcome } from "./known_outcome.ts";

/** Interval of checks whether a pending claim was decided. */
const DECISION_POLL_MS = 25;

/** Fraction of the limit of claims from which a warning is logged. */
const CLAIMS_WARNING_FRACTION = 0.8;

/** Fraction below which the next warning may be logged. */
const CLAIMS_CLEAR_FRACTION = 0.75;

/** Reasons to refuse an order without a query of the other entry hosts. */
const REASONS_WITHOUT_PEER_QUERY = new Set(["unknown-service"]);

/** Order that waits for the decision on its claim. */
type PendingOrder = {
  order: RoutedRequest;
  key: string;
  refuseNewReason: string | undefined;
  resolve: (outcome: RequestOutcome) => void;
};

/** Order with its idempotency key. */
export type KeyedOrder = {
  order: RoutedRequest;
  /** Digest of the caller and its idempotency key. */
  key: string;
  /** Reason to refuse the order, unless it repeats an earlier one. */
  refuseNewReason: string | undefined;
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
};

/** Runs each order at most once. */
export type OrderDeduplicator = ReturnType<typeof createOrderDeduplicator>;

/**
 * Creates the deduplicator of orders. Before an order runs, its claim of the
 * idempotency key is appended to the stream `claims`; the first claim of a key
 * wins. Repeats receive the outcome of the order that holds the claim.
 */
export function createOrderDeduplicator(
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
  const answers = createAnswerWriter(dependencies);
  const queryPeers = createPeerQuery(dependencies);
  const pendingOrders = new Map<string, PendingOrder>();
  const outcomes = new Map<string, Promise<SharedOutcome>>();
  /** Orders whose outcome further callers wait for. */
  const sharedOrders = new Set<string>();
  /** Whether the claims were read to the end of the log since the start. */
  let hasReadClaims = false;
  let isNearlyFull = false;
  let wakeTimer: NodeJS.Timeout | undefined;
  return {
    run,
    tick,
    foldClaim,
    awaitOutcome,
    /** Returns whether the log holds the end of each claim of this process. */
    isIdle: () => state.local.size === 0 && state.pendingEnds.length === 0,
    close() {
      clearTimeout(wakeTimer);
      answers.close();
    },
  };

  function run(keyed: KeyedOrder): Promise<RequestOutcome> {
    const { order, key, refuseNewReason, signal } = keyed;
    return new Promise((resolve) => {
      signal.addEventListener("abort", () => cancel(order.id, key));
      submit({ order, key, refuseNewReason, resolve });
    });
  }

  function submit(entry: PendingOrder): void {
    const { order, key, refuseNewReason } = entry;
    pendingOrders.set(order.id, entry);
    advance({
      type: "order-received",
      id: order.id,
      key,
      request: digestRequest(order),
      deadlineAtMs: order.deadlineAtMs,
      ...(refuseNewReason !== undefined && { refuseNewReason }),
    });
  }

  async function awaitHolder(
    action: Extract<ClaimAction, { type: "wait-for-holder" }>,
  ): Promise<void> {
    const { id, key, member, incarnation } = action;
    const entry = pendingOrders.get(id);
    pendingOrders.delete(id);
    if (entry === undefined) return;
    const { deadlineAtMs } = entry.order;
    const wait = { key, member, incarnation, deadlineAtMs };
    const outcome = await awaitHolderOutcome(state, wait, dependencies);
    if (outcome === "released") submit(entry);
    else entry.resolve(outcome);
  }

  /**
   * Cancels an order whose caller disconnected, if it was not sent and no other
   * caller waits for its outcome.
   */
  function cancel(id: string, key: string): void {
    advance({ type: "cancelled", id, key });
    if (!sharedOrders.has(id)) dispatcher.cancel(id);
  }

  function tick(): void {
    hasReadClaims ||= dependencies.logIsFresh();
    advance({ type: "members", live: dependencies.liveMembers() });
    advance({ type: "tick" });
    reportClaimUsage();
  }

  /** Reports the number of claims and logs a warning near the limit. */
  function reportClaimUsage(): void {
    const claims = state.table.size + state.fingerprints.size;
    const limit = state.options.maxClaims;
    dependencies.metrics.setClaims({ count: claims, limit });
    const isNear = claims >= CLAIMS_WARNING_FRACTION * limit;
    if (isNear && !isNearlyFull) {
      dependencies.events.log("claimsNearlyFull", { claims, limit });
    }
    isNearlyFull = isNear ||
      (isNearlyFull && claims >= CLAIMS_CLEAR_FRACTION * limit);
  }

  function foldClaim(record: LogRecord): void {
    const body = ClaimRecord.safeParse(record.body);
    if (!body.success) return;
    const { id, timeMs } = record;
    hasReadClaims ||= dependencies.logIsFresh();
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
        return scheduleWake(action.atMs);
      case "forget":
        outcomes.delete(action.primary);
        sharedOrders.delete(action.primary);
        return;
      case "send":
        return send(action.id, action.key);
      case "join":
        return settleWith(action.id, shareOutcomeOf(action.primary));
      case "read-answer":
        return settleWith(
          action.id,
          readCompletedOutcome(dependencies, action),
        );
      case "wait-for-holder":
        void awaitHolder(action);
        return;
      case "refuse":
        return settleWith(action.id, refuse(action));
    }
  }

  function settleWith(
    id: string,
    outcome: RequestOutcome | Promise<RequestOutcome>,
  ): void {
    const entry = pendingOrders.get(id);
    pendingOrders.delete(id);
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

  function scheduleWake(atMs: number): void {
    if (wakeTimer !== undefined) return;
    wakeTimer = setTimeout(() => {
      wakeTimer = undefined;
      advance({ type: "tick" });
    }, Math.max(0, atMs - dependencies.nowMs()));
    wakeTimer.unref();
  }

  /** Sends an order whose claim was the first for its key. */
  function send(id: string, key: string): void {
    const entry = pendingOrders.get(id);
    pendingOrders.delete(id);
    if (entry === undefined) {
      return advance({ type: "ended", key, end: "not-run" });
    }
    const ended = dispatcher.run(entry.order);
    outcomes.set(id, ended.then(toSharedOutcome));
    void ended.then((outcome) => {
      entry.resolve(outcome);
      end(key, outcome);
    });
  }

  function end(key: string, outcome: RequestOutcome): void {
    if (outcome.type === "failed") {
      const end = outcome.notRun ? "not-run" : "unknown";
      return advance({ type: "ended", key, end });
    }
    advance({ type: "ended", key, end: "answered" });
    const shared = toSharedOutcome(outcome);
    const kept = shared.type === "answer"
      ? answers.write(key, shared.answer)
      : Promise.resolve(undefined);
    void kept.then((offset) => advance({ type: "answer-kept", key, offset }));
  }

  async function shareOutcomeOf(primary: string): Promise<RequestOutcome> {
    sharedOrders.add(primary);
    const shared = await outcomes.get(primary);
    return shared === undefined
      ? unknownOutcome("outcome-unknown")
      : fromSharedOutcome(shared);
  }

  async function refuse(
    action: Extract<ClaimAction, { type: "refuse" }>,
  ): Promise<RequestOutcome> {
    const { key, reason } = action;
    if (!action.notRun) return unknownOutcome(reason);
    if (action.isCertain || REASONS_WITHOUT_PEER_QUERY.has(reason)) {
      return notRunOutcome(reason);
    }
    const known = await queryPeers(key);
    if (known.type === "completed") return fromWireAnswer(known.answer);
    return known.type === "not-found"
      ? notRunOutcome(reason)
      : unknownOutcome(reason);
  }

  /** Returns whether this process knows each claim that others have folded. */
  function knowsAllClaims(): boolean {
    const { member, incarnation } = settings;
    return hasReadClaims && dependencies.isCurrentMember(member, incarnation);
  }

  /** Returns to another entry host what is known of an order. */
  async function awaitOutcome(
    key: string,
    waitMs: number,
  ): Promise<KnownOutcome> {
    const endAtMs = dependencies.nowMs() + waitMs;
    for (;;) {
      const claim = findClaim(state, key);
      const remainingMs = endAtMs - dependencies.nowMs();
      switch (claim.type) {
        case "none":
          return { type: knowsAllClaims() ? "not-found" : "unknown" };
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
          const shared = await withTimeout(
            outcomes.get(claim.primary) ??
              Promise.resolve(unknownOutcome("outcome-unknown")),
            Math.max(0, remainingMs),
          );
          return shared === undefined
            ? { type: "running" }
            : toKnownOutcome(shared);
        }
        case "deciding":
          if (remainingMs <= 0) return { type: "running" };
          await new Promise((resolve) => setTimeout(resolve, DECISION_POLL_MS));
      }
    }
  }
}
