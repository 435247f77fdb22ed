/**
 * Folds batches of claims from the log into the state of an entry host.
 *
 * @module
 */

import type { ClaimEntry, ClaimRecord } from "@lagoonloom/records";
import { addEnd } from "./_append_batch.ts";
import type { ClaimAction } from "./claim_action.ts";
import {
  type ClaimsState,
  type LocalClaim,
  MAX_TABLE_CLAIMS,
} from "./claims_state.ts";

/** Claims that are reduced to fingerprints at a time, in about 5 ms. */
const FINGERPRINT_BATCH_SIZE = 32_768;

/** Log time in milliseconds between two evictions of old claims. */
const EVICTION_INTERVAL_MS = 1_000;

/** Batch as read from the log. */
type FoldedBatch = { id: string; timeMs: number; body: ClaimRecord };

/** Callback that submits a waiting order again. */
type Resubmit = (
  order: { id: string; key: string; request: string; deadlineAtMs: number },
) => ClaimAction[];

/**
 * Folds a batch of the log and returns the actions that follow from it.
 *
 * The id of a batch ends in a sequence number. A batch whose number is not
 * above the last one of its process has no effect. So a batch that was appended
 * twice counts once, and one that arrives after a later one does not count.
 */
export function foldBatch(
  state: ClaimsState,
  batch: FoldedBatch,
  options: { nowMs: number; resubmit: Resubmit },
): ClaimAction[] {
  const { member, incarnation } = state.options;
  const { body, timeMs } = batch;
  const isOwn = body.holder === member && body.incarnation === incarnation;
  if (isOwn && state.batch?.recordId === batch.id) state.batch = undefined;
  const holderId = getHolderId(state, body);
  const holder = state.holders.get(holderId)!;
  const sequence = Number(/\.(\d{1,15})$/.exec(batch.id)?.[1] ?? 0);
  if (sequence <= holder.lastSequence) return [];
  holder.lastSequence = sequence;
  holder.lastTimeMs = timeMs;
  evict(state, timeMs);
  const timeS = Math.floor(timeMs / 1_000);
  return body.entries.flatMap((entry) =>
    foldEntry(state, entry, { holderId, isOwn, timeS, ...options })
  );
}

type FoldEntryOptions = {
  holderId: number;
  isOwn: boolean;
  timeS: number;
  nowMs: number;
  resubmit: Resubmit;
};

function foldEntry(
  state: ClaimsState,
  entry: ClaimEntry,
  options: FoldEntryOptions,
): ClaimAction[] {
  const { table } = state;
  const { holderId, isOwn } = options;
  const { key } = entry;
  const position = table.find(key);
  if (entry.type === "claimed") {
    if (position >= 0) return [];
    if (state.fingerprints.has(key)) return refuseOldKey(state, key);
    const { request } = entry;
    const { timeS } = options;
    table.insert(key, { request, holder: holderId, timeS });
    return isOwn
      ? foldOwnClaim(state, entry, options.nowMs)
      : foldForeignClaim(state, entry, holderId);
  }
  if (position < 0) return [];
  const view = table.view(position);
  if (view.holder !== holderId || view.state !== "open") return [];
  const local = isOwn ? state.local.get(key) : undefined;
  if (entry.type === "completed") {
    table.complete(position, entry.answerOffset);
    if (local?.phase !== "completing") return [];
    state.local.delete(key);
    return [{ type: "forget", primary: local.primary! }];
  }
  table.remove(position);
  if (local?.phase !== "releasing") return [];
  state.local.delete(key);
  const actions = local.waitingForRelease.flatMap((
    { id, request, deadlineAtMs },
  ) => options.resubmit({ id, key, request, deadlineAtMs }));
  return local.primary === undefined
    ? actions
    : [{ type: "forget", primary: local.primary }, ...actions];
}

/**
 * Handles a claim of this process that is the first of its key. Sends the order
 * that waits for it, or releases the claim if no order waits or the claim is of
 * a request with other content.
 */
function foldOwnClaim(
  state: ClaimsState,
  entry: { key: string; request: string },
  nowMs: number,
): ClaimAction[] {
  const { key, request } = entry;
  const local = state.local.get(key) ?? addLocalClaim(state, entry);
  const [first, ...others] = local.orders;
  local.orders = [];
  if (first === undefined || local.request !== request) {
    local.phase = "releasing";
    addEnd(state, { type: "released", key }, nowMs);
    // The claim was appended for an earlier order with other content, so the
    // orders that wait now cannot use it.
    return [first, ...others].flatMap((order) =>
      order === undefined ? [] : [refusePendingClaim(order.id, key)]
    );
  }
  local.phase = "running";
  local.primary = first.id;
  const joins = others.map(({ id }): ClaimAction => ({
    type: "join",
    id,
    primary: first.id,
  }));
  return [{ type: "send", id: first.id, key }, ...joins];
}

/**
 * Handles the first claim of a key by another process. Orders here wait for its
 * outcome, or are refused if their content differs.
 */
function foldForeignClaim(
  state: ClaimsState,
  entry: { key: string; request: string },
  holderId: number,
): ClaimAction[] {
  const { key, request } = entry;
  const local = state.local.get(key);
  if (local === undefined) return [];
  state.local.delete(key);
  // Makes `flushEntries` drop the claim if it is still queued.
  local.phase = "releasing";
  const { member, incarnation } = state.holders.get(holderId)!;
  return local.orders.map(({ id }) =>
    local.request === request
      ? { type: "wait-for-holder", id, key, member, incarnation }
      : {
        type: "refuse",
        id,
        key,
        notRun: true,
        isCertain: true,
        reason: "key-reused",
      }
  );
}

/** Refuses the orders that wait for a key that was claimed long before. */
function refuseOldKey(state: ClaimsState, key: string): ClaimAction[] {
  const local = state.local.get(key);
  if (local === undefined || local.primary !== undefined) return [];
  state.local.delete(key);
  local.phase = "releasing";
  const reason = "claimed-before";
  return local.orders.map(({ id }) => ({
    type: "refuse",
    id,
    key,
    notRun: false,
    isCertain: true,
    reason,
  }));
}

function refusePendingClaim(id: string, key: string): ClaimAction {
  const reason = "claim-pending";
  return { type: "refuse", id, key, notRun: true, isCertain: true, reason };
}

function addLocalClaim(
  state: ClaimsState,
  entry: { key: string; request: string },
): LocalClaim {
  const local: LocalClaim = {
    key: entry.key,
    request: entry.request,
    phase: "releasing",
    orders: [],
    primary: undefined,
    waitingForRelease: [],
  };
  state.local.set(entry.key, local);
  return local;
}

/** Returns the id of a process, and assigns one if it is new. */
function getHolderId(state: ClaimsState, body: ClaimRecord): number {
  const name = `${body.holder}/${body.incarnation}`;
  const known = state.holderIds.get(name);
  if (known !== undefined) return known;
  const id = state.nextHolderId;
  state.nextHolderId += 1;
  state.holderIds.set(name, id);
  state.holders.set(id, {
    member: body.holder,
    incarnation: body.incarnation,
    lastSequence: 0,
    lastTimeMs: 0,
  });
  return id;
}

/**
 * Removes claims and processes that are older than the window, and reduces the
 * oldest claims of a full table to fingerprints.
 */
function evict(state: ClaimsState, timeMs: number): void {
  if (timeMs < state.evictAtMs) return;
  state.evictAtMs = timeMs + EVICTION_INTERVAL_MS;
  const windowStartMs = timeMs - state.options.windowMs;
  const windowStartS = Math.floor(windowStartMs / 1_000);
  state.table.evictBefore(windowStartS);
  state.fingerprints.evictBefore(windowStartS);
  while (state.table.size > MAX_TABLE_CLAIMS + FINGERPRINT_BATCH_SIZE) {
    state.fingerprints.add(state.table.takeOldest(FINGERPRINT_BATCH_SIZE));
  }
  for (const [id, holder] of state.holders) {
    if (holder.lastTimeMs >= windowStartMs) continue;
    state.holders.delete(id);
    state.holderIds.delete(`${holder.member}/${holder.incarnation}`);
  }
}
