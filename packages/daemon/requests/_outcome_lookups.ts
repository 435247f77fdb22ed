/**
 * Lookups of the outcomes of orders in the log and at other entry hosts.
 *
 * @module
 */

import { findClaim } from "@lagoonloom/decisions";
import type { ClaimsState } from "@lagoonloom/decisions";
import { withTimeout } from "./_forward_request.ts";
import {
  notRunOutcome,
  type RequestOutcome,
  unknownOutcome,
} from "./_routed_request.ts";
import { fromWireAnswer, toWireHeaders } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { WireAnswer } from "./forwarded.ts";
import type { KnownOutcome } from "./known_outcome.ts";

/** Longest wait of one call to the entry host that holds a claim. */
const MAX_HOLDER_WAIT_MS = 2_000;

/** Longest wait if the holder is no longer a member. */
const MAX_FORMER_HOLDER_WAIT_MS = 500;

/** Delay before an unreachable holder is called again. */
const HOLDER_RETRY_DELAY_MS = 200;

/** Interval of checks for the log record that releases a claim. */
const RELEASE_POLL_MS = 25;

/** Longest wait for the answers of the other entry hosts to a query. */
const PEER_QUERY_TIMEOUT_MS = 500;

/** Queries that may run at a time, which bounds calls while the log is down. */
const MAX_CONCURRENT_QUERIES = 32;

/** Reads a stored answer; returns undefined if it can't be read. */
export async function readKeptAnswer(
  dependencies: RequestPathDependencies,
  place: { key: string; offset: number },
): Promise<WireAnswer | undefined> {
  const record = await dependencies.readAnswer(place.offset)
    .catch(() => undefined);
  const kept = record?.answers.find((answer) => answer.key === place.key);
  if (kept === undefined) return undefined;
  return {
    status: kept.status,
    headers: toWireHeaders(kept.headers),
    body: Buffer.from(kept.body, "base64"),
  };
}

/**
 * Waits for the outcome of an order whose claim another entry host holds.
 * Returns `released` if the order did not run and may be claimed again.
 */
export async function awaitHolderOutcome(
  state: ClaimsState,
  wait: {
    key: string;
    member: string;
    incarnation: string;
    deadlineAtMs: number;
  },
  dependencies: RequestPathDependencies,
): Promise<RequestOutcome | "released"> {
  const { key, member, incarnation, deadlineAtMs } = wait;
  let isReleased = false;
  for (;;) {
    const claim = findClaim(state, key);
    if (claim.type === "completed") {
      return readCompletedOutcome(dependencies, { key, offset: claim.offset });
    }
    if (claim.type !== "open") return "released";
    const remainingMs = deadlineAtMs - dependencies.nowMs();
    if (remainingMs <= 0) {
      return isReleased
        ? notRunOutcome("holder-released")
        : unknownOutcome("deadline");
    }
    if (isReleased) {
      await sleep(RELEASE_POLL_MS);
      continue;
    }
    // A process that was declared lost gets a new incarnation, but may still
    // run and know the outcomes of its orders.
    const isCurrent = dependencies.isCurrentMember(member, incarnation);
    const longestMs = isCurrent
      ? MAX_HOLDER_WAIT_MS
      : MAX_FORMER_HOLDER_WAIT_MS;
    const waitMs = Math.floor(Math.min(remainingMs, longestMs));
    const known = await withTimeout(
      dependencies.awaitOutcomeAt(member, key, waitMs).catch(() => undefined),
      isCurrent ? remainingMs : waitMs,
    );
    switch (known?.type) {
      case "completed":
        return fromWireAnswer(known.answer);
      case "not-run":
        isReleased = true;
        break;
      case "running":
        break;
      case "unknown":
        // The record that ends the claim may have been folded during the call.
        if (findClaim(state, key).type === "open") {
          return unknownOutcome(
            isCurrent ? "outcome-unknown" : "holder-gone",
          );
        }
        break;
      default:
        if (!isCurrent) return unknownOutcome("holder-gone");
        await sleep(HOLDER_RETRY_DELAY_MS);
    }
  }
}

/** Returns the outcome of a completed order from its stored answer. */
export async function readCompletedOutcome(
  dependencies: RequestPathDependencies,
  place: { key: string; offset: number | undefined },
): Promise<RequestOutcome> {
  const { key, offset } = place;
  if (offset === undefined) return unknownOutcome("answer-not-kept");
  const answer = await readKeptAnswer(dependencies, { key, offset });
  return answer === undefined
    ? unknownOutcome("answer-unavailable")
    : fromWireAnswer(answer);
}

/** Creates the query that asks all other entry hosts about an order. */
export function createPeerQuery(dependencies: RequestPathDependencies) {
  let runningQueries = 0;

  /**
   * Returns what the other entry hosts know of an order, `not-found` if none of
   * them has seen it. Without this query, a repeat of an order that ran
   * elsewhere could be answered with "not-run", since this entry host may not
   * have folded the claim yet.
   */
  return async function queryPeers(key: string): Promise<KnownOutcome> {
    const members = dependencies.otherMembers?.() ?? [];
    if (members.length === 0) return { type: "not-found" };
    if (runningQueries >= MAX_CONCURRENT_QUERIES) return { type: "unknown" };
    runningQueries += 1;
    try {
      const outcomes = await Promise.all(members.map((member) =>
        withTimeout(
          dependencies.awaitOutcomeAt(member, key, 0).catch(() => undefined),
          PEER_QUERY_TIMEOUT_MS,
        )
      ));
      const completed = outcomes.find((held) => held?.type === "completed");
      if (completed !== undefined) return completed;
      const isUnknownToAll = outcomes.every((held) =>
        held?.type === "not-found" || held?.type === "not-run"
      );
      return { type: isUnknownToAll ? "not-found" : "unknown" };
    } finally {
      runningQueries -= 1;
    }
  };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
