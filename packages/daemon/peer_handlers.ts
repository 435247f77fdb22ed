/**
 * Calls between entry hosts: the handlers for received ones, and functions that
 * make them.
 *
 * @module
 */

import { splitSlotKey } from "@lagoonloom/decisions";
import {
  type AwaitOutcomeResponse_State,
  AwaitOutcomeResponse_State as State,
  type HeartbeatRequest,
  type PeerClient,
  type PeerHandlers,
} from "@lagoonloom/peers";
import type { ControlFold } from "./control_fold.ts";
import { snapshotChunks } from "./log_follower.ts";
import { type OwnHeartbeat, type SlotCountsReply } from "./peer_links.ts";
import type {
  ForwardedRequest,
  ForwardedResult,
  KnownOutcome,
  RequestPath,
} from "./requests/mod.ts";

/** Most records in one answer to a peer. */
const MAX_TAIL_RECORDS = 500;

/** Longest time in milliseconds that a peer may wait for an order's outcome. */
const MAX_AWAIT_MS = 10_000;

/** Time in milliseconds by which a call may exceed its deadline or wait. */
const CALL_GRACE_MS = 250;

/** Options of {@linkcode createPeerHandlers}. */
export type PeerHandlersOptions = {
  fold: ControlFold;
  path: Pick<RequestPath, "handleForward" | "awaitOutcome">;
  describeSelf: () => OwnHeartbeat;
  /** Records a heartbeat; returns the promise and changed counts of slots. */
  onHeartbeat: (
    request: HeartbeatRequest,
  ) => SlotCountsReply & { promiseMs: number };
};

/**
 * Creates the handlers for the calls of other entry hosts.
 *
 * @example
 * ```ts
 * const handlers = createPeerHandlers(options);
 * ```
 */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
  const { fold, path } = options;
  return {
    heartbeat(request) {
      const reply = options.onHeartbeat(request);
      const { held, ...own } = options.describeSelf();
      return {
        ...own,
        nextOffset: BigInt(own.nextOffset),
        generation: BigInt(own.generation),
        setVersion: BigInt(own.setVersion),
        held: held.map(splitSlotKey),
        ...reply,
      };
    },
    async forward(request) {
      const { requestId } = request;
      const result = await path.handleForward(request);
      return {
        requestId,
        result: result.type === "answer"
          ? { case: "answer", value: result.answer }
          : { case: "failure", value: result },
      };
    },
    async awaitOutcome({ key, waitMs }) {
      const bounded = Math.min(waitMs, MAX_AWAIT_MS);
      const outcome = await path.awaitOutcome(key, bounded);
      return outcome.type === "completed"
        ? { state: State.COMPLETED, answer: outcome.answer }
        : { state: STATE_BY_OUTCOME[outcome.type] };
    },
    snapshot: () =>
      fold.state().nextOffset === 0 ? [] : snapshotChunks(fold.state()),
    tail({ fromOffset, limit }) {
      const count = Math.min(limit, MAX_TAIL_RECORDS);
      const records = fold.recentRecords(Number(fromOffset), count);
      const encoder = new TextEncoder();
      return {
        records: records.map(({ offset, timeMs, id, body }) => ({
          offset: BigInt(offset),
          timeMs: BigInt(timeMs),
          id,
          body: encoder.encode(JSON.stringify(body)),
        })),
        nextOffset: BigInt(fold.state().nextOffset),
      };
    },
  };
}

const STATE_BY_OUTCOME: Readonly<
  Record<Exclude<KnownOutcome["type"], "completed">, AwaitOutcomeResponse_State>
> = {
  "running": State.RUNNING,
  "not-found": State.NOT_FOUND,
  "not-run": State.NOT_RUN,
  "unknown": State.UNKNOWN,
};

/**
 * Forwards a request to another entry host.
 *
 * @example
 * ```ts
 * const result = await forwardTo(client, request);
 * ```
 */
export async function forwardTo(
  client: PeerClient,
  request: ForwardedRequest,
): Promise<ForwardedResult | { type: "not-sent" } | { type: "unknown" }> {
  const timeoutMs = request.remainingMs + CALL_GRACE_MS;
  const outcome = await client.forward(request, { timeoutMs });
  if (outcome.type === "unreachable") {
    return { type: outcome.mayHaveArrived ? "unknown" : "not-sent" };
  }
  const { result } = outcome.response;
  if (result.case === "answer") return { type: "answer", answer: result.value };
  if (result.case === undefined) return { type: "unknown" };
  const { notRun, reason, retryAfterMs } = result.value;
  return { type: "failure", notRun, reason, retryAfterMs };
}

/**
 * Asks another entry host for the outcome of an order whose claim it holds.
 *
 * @example
 * ```ts
 * const outcome = await awaitOutcomeAt(client, { key, waitMs: 1_000 });
 * ```
 */
export async function awaitOutcomeAt(
  client: PeerClient,
  wait: { key: string; waitMs: number },
): Promise<KnownOutcome> {
  const timeoutMs = wait.waitMs + CALL_GRACE_MS;
  const outcome = await client.awaitOutcome(wait, { timeoutMs });
  if (outcome.type === "unreachable") return { type: "unknown" };
  const { state, answer } = outcome.response;
  if (state === State.RUNNING) return { type: "running" };
  if (state === State.NOT_RUN) return { type: "not-run" };
  if (state === State.NOT_FOUND) return { type: "not-found" };
  if (state !== State.COMPLETED || answer === undefined) {
    return { type: "unknown" };
  }
  return { type: "completed", answer };
}
