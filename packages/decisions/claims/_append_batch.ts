/**
 * Batches claims, completions and releases into records, which are appended at
 * a limited rate.
 *
 * @module
 */

import type { ClaimEntry } from "@lagoonloom/records";
import type { ClaimAction } from "./claim_action.ts";
import type { ClaimAppendResult } from "./claim_event.ts";
import type { ClaimBatch, ClaimsState } from "./claims_state.ts";

/**
 * Appends of claims per second over all entry hosts. Appends of answers add 20,
 * so that the busiest second stays below 200.
 */
const MAX_APPENDS_PER_S = 160;

/** Limit on the entries of a batch, which is then about 30 KB. */
const MAX_BATCH_ENTRIES = 256;

/** Longest time that completions wait for claims to share a batch with. */
const MAX_COMPLETION_DELAY_MS = 200;

/** Delay before a batch is appended again. */
const RETRY_MS = 250;

/**
 * Returns the append of the next batch if it is due, or the time at which it
 * will be.
 */
export function flushEntries(
  state: ClaimsState,
  nowMs: number,
): ClaimAction[] {
  const { batch } = state;
  if (batch?.isAppending) return [];
  if (batch === undefined && !hasEntries(state)) return [];
  const dueAtMs = batch !== undefined || state.pendingClaims.length > 0
    ? state.nextAppendAtMs
    : Math.max(state.nextAppendAtMs, state.endsDueAtMs);
  if (nowMs < dueAtMs) return [{ type: "wake", atMs: dueAtMs }];
  const next = batch ?? takeBatch(state);
  state.batch = next;
  next.isAppending = true;
  const spacingMs = state.liveMembers * 1_000 / MAX_APPENDS_PER_S;
  state.nextAppendAtMs = nowMs + spacingMs;
  const { recordId, record } = next;
  return [{ type: "append", recordId, record }];
}

/**
 * Queues the completion or release of a claim for the next batch. A completion
 * may wait for further claims, since its holder answers repeated orders until
 * it is folded. A release may not, since repeated orders wait for it.
 */
export function addEnd(
  state: ClaimsState,
  entry: ClaimEntry,
  nowMs: number,
): void {
  const delayMs = entry.type === "completed" ? MAX_COMPLETION_DELAY_MS : 0;
  const dueAtMs = nowMs + delayMs;
  state.endsDueAtMs = state.pendingEnds.length === 0
    ? dueAtMs
    : Math.min(state.endsDueAtMs, dueAtMs);
  state.pendingEnds.push(entry);
}

/** Handles the result of an append. */
export function handleAppendResult(
  state: ClaimsState,
  event: { recordId: string; result: ClaimAppendResult },
  nowMs: number,
): void {
  const { batch } = state;
  if (batch?.recordId !== event.recordId) return;
  batch.isAppending = false;
  if (event.result === "appended") {
    state.batch = undefined;
    return;
  }
  const retryAtMs = nowMs + RETRY_MS;
  state.nextAppendAtMs = Math.max(state.nextAppendAtMs, retryAtMs);
  // Appends the same batch again, since the log may already contain it.
  if (event.result === "unknown") return;
  // An earlier append of a refused batch may still reach the log. Its claims
  // then take effect before they are appended again, or not at all if it
  // arrives after the next batch, whose sequence number is higher.
  state.batch = undefined;
  for (const claim of batch.claims) {
    if (claim.phase === "appended") requeueClaim(state, claim);
  }
  const ends = batch.record.entries.filter((entry) => entry.type !== "claimed");
  state.pendingEnds.unshift(...ends);
  state.endsDueAtMs = state.nextAppendAtMs;
}

/** Queues a refused claim again, or drops it if no order waits for it. */
function requeueClaim(
  state: ClaimsState,
  claim: ClaimBatch["claims"][number],
): void {
  if (claim.orders.length === 0) {
    state.local.delete(claim.key);
    return;
  }
  claim.phase = "queued";
  state.pendingClaims.push(claim);
}

/** Drops claims that are no longer queued; returns whether entries are left. */
function hasEntries(state: ClaimsState): boolean {
  state.pendingClaims = state.pendingClaims.filter((claim) =>
    claim.phase === "queued"
  );
  return state.pendingClaims.length > 0 || state.pendingEnds.length > 0;
}

/** Moves queued entries into a new batch, ends before claims. */
function takeBatch(state: ClaimsState): ClaimBatch {
  const { member, incarnation } = state.options;
  const ends = state.pendingEnds.splice(0, MAX_BATCH_ENTRIES);
  const claims = state.pendingClaims.splice(0, MAX_BATCH_ENTRIES - ends.length);
  for (const claim of claims) claim.phase = "appended";
  state.lastSequence += 1;
  const entries = [
    ...ends,
    ...claims.map(({ key, request }) => ({
      type: "claimed" as const,
      key,
      request,
    })),
  ];
  return {
    recordId: `claims.${member}.${incarnation}.${state.lastSequence}`,
    record: { holder: member, incarnation, entries },
    claims,
    isAppending: false,
  };
}
