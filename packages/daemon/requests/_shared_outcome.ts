import { MAX_KEPT_BYTES } from "./_answer_keeper.ts";
import {
  type OrderFailure,
  type OrderOutcome,
  unknownOutcome,
} from "./_order.ts";
import { fromWireAnswer, toWireHeaders } from "./_wire.ts";
import type { WireAnswer } from "./forwarded.ts";
import type { HeldOutcome } from "./held_outcome.ts";

/** Outcome of an order for callers that repeat it. */
export type SharedOutcome =
  | { type: "answer"; answer: WireAnswer }
  | OrderFailure;

/** Makes the outcome for repeats; a large answer is not shared. */
export function shareOutcome(outcome: OrderOutcome): SharedOutcome {
  if (outcome.type === "failed") return outcome;
  const isSmall = outcome.type === "answered" &&
    outcome.body.length <= MAX_KEPT_BYTES;
  if (!isSmall) return unknownOutcome("answer-not-kept");
  const { status, headers, body } = outcome;
  const answer = { status, headers: toWireHeaders(headers), body };
  return { type: "answer", answer };
}

/** Converts a shared outcome for a caller. */
export function fromShared(shared: SharedOutcome): OrderOutcome {
  return shared.type === "answer" ? fromWireAnswer(shared.answer) : shared;
}

/** Converts a shared outcome for another entry host. */
export function toHeld(shared: SharedOutcome): HeldOutcome {
  if (shared.type === "answer") {
    return { type: "completed", answer: shared.answer };
  }
  return { type: shared.notRun ? "not-run" : "unknown" };
}
