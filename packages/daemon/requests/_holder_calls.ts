import { findClaim } from "@lagoonloom/decisions";
import type { ClaimsState } from "@lagoonloom/decisions";
import { withinMs } from "./_forward_order.ts";
import { notRun, type OrderOutcome, unknownOutcome } from "./_order.ts";
import { fromWireAnswer, toWireHeaders } from "./_wire.ts";
import type { RequestPathDependencies } from "./dependencies.ts";
import type { WireAnswer } from "./forwarded.ts";
import type { HeldOutcome } from "./held_outcome.ts";

/** Longest wait of one call to a holder. */
const HOLDER_WAIT_MS = 2_000;

/** Longest wait for a holder that is no longer a member. */
const GONE_HOLDER_WAIT_MS = 500;

/** Delay before a holder that can't be reached is called again. */
const HOLDER_RETRY_MS = 200;

/** Time between two looks for a release that is on its way. */
const FOLD_POLL_MS = 25;

/** Time in which the other entry hosts have to confirm. */
const CONFIRM_MS = 500;

/** Confirmations at a time, which bounds the calls when the log is down. */
const MAX_CONFIRMATIONS = 32;

/** Reads a kept answer, or undefined if it can't be read. */
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
 * Waits for the outcome of an order that another entry host holds. The result
 * is `released` when the order did not run and may be claimed again.
 */
export async function waitForHolder(
  state: ClaimsState,
  wait: {
    key: string;
    member: string;
    incarnation: string;
    deadlineAtMs: number;
  },
  dependencies: RequestPathDependencies,
): Promise<OrderOutcome | "released"> {
  const { key, member, incarnation, deadlineAtMs } = wait;
  let isReleased = false;
  for (;;) {
    const claim = findClaim(state, key);
    if (claim.type === "completed") {
      return readCompleted(dependencies, { key, offset: claim.offset });
    }
    if (claim.type !== "open") return "released";
    const remainingMs = deadlineAtMs - dependencies.nowMs();
    if (remainingMs <= 0) {
      return isReleased
        ? notRun("holder-released")
        : unknownOutcome("deadline");
    }
    if (isReleased) {
      await sleep(FOLD_POLL_MS);
      continue;
    }
    // A process that was declared lost has a new incarnation, but still knows
    // its orders.
    const isCurrent = dependencies.isCurrentMember(member, incarnation);
    const longestMs = isCurrent ? HOLDER_WAIT_MS : GONE_HOLDER_WAIT_MS;
    const waitMs = Math.floor(Math.min(remainingMs, longestMs));
    const held = await withinMs(
      dependencies.awaitOutcomeAt(member, key, waitMs).catch(() => undefined),
      isCurrent ? remainingMs : waitMs,
    );
    switch (held?.type) {
      case "completed":
        return fromWireAnswer(held.answer);
      case "not-run":
        isReleased = true;
        break;
      case "running":
        break;
      case "unknown":
        // The end may be on its way here through the log.
        if (findClaim(state, key).type === "open") {
          return unknownOutcome(
            isCurrent ? "outcome-unknown" : "holder-gone",
          );
        }
        break;
      default:
        if (!isCurrent) return unknownOutcome("holder-gone");
        await sleep(HOLDER_RETRY_MS);
    }
  }
}

/** Reads the kept answer of an order that completed. */
export async function readCompleted(
  dependencies: RequestPathDependencies,
  place: { key: string; offset: number | undefined },
): Promise<OrderOutcome> {
  const { key, offset } = place;
  if (offset === undefined) return unknownOutcome("answer-not-kept");
  const answer = await readKeptAnswer(dependencies, { key, offset });
  return answer === undefined
    ? unknownOutcome("answer-unavailable")
    : fromWireAnswer(answer);
}

/** Creates the check that no other entry host knows an order. */
export function createConfirmation(dependencies: RequestPathDependencies) {
  let confirmations = 0;

  /**
   * Returns what the others know: `not-found` if none has seen the order. A
   * repeat of an order that ran elsewhere must not be told that it was not
   * run, but this entry host may not have folded that claim yet.
   */
  return async function confirm(key: string): Promise<HeldOutcome> {
    const members = dependencies.otherMembers?.() ?? [];
    if (members.length === 0) return { type: "not-found" };
    if (confirmations >= MAX_CONFIRMATIONS) return { type: "unknown" };
    confirmations += 1;
    try {
      const outcomes = await Promise.all(members.map((member) =>
        withinMs(
          dependencies.awaitOutcomeAt(member, key, 0).catch(() => undefined),
          CONFIRM_MS,
        )
      ));
      const completed = outcomes.find((held) => held?.type === "completed");
      if (completed !== undefined) return completed;
      const isUnseen = outcomes.every((held) =>
        held?.type === "not-found" || held?.type === "not-run"
      );
      return { type: isUnseen ? "not-found" : "unknown" };
    } finally {
      confirmations -= 1;
    }
  };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
