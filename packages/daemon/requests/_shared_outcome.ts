/**
 * Outcomes of orders in the form that repeats and other entry hosts receive.
 *
 * @module
 */

import { MAX_KEPT_ANSWER_BYTES } from "./_answer_writer.ts";
import {
  type RequestFailure,
  type RequestOutcome,
  unknownOutcome,
} from "./_routed_request.ts";
import { fromWireAnswer, toWireHeaders } from "./_wire.ts";
import type { WireAnswer } from "./forwarded.ts";
import type { KnownOutcome } from "./known_outcome.ts";

/** Outcome of an order that several callers, or entry hosts, can receive. */
export type SharedOutcome =
  | { type: "answer"; answer: WireAnswer }
  | RequestFailure;

/**
 * Converts an outcome for repeats of the order. A streamed answer, or one above
 * {@linkcode MAX_KEPT_ANSWER_BYTES}, becomes an unknown outcome.
 */
export function toSharedOutcome(outcome: RequestOutcome): SharedOutcome {
  if (outcome.type === "failed") return outcome;
  const isSmall = outcome.type === "answered" &&
    outcome.body.length <= MAX_KEPT_ANSWER_BYTES;
  if (!isSmall) return unknownOutcome("answer-not-kept");
  const { status, headers, body } = outcome;
  const answer = { status, headers: toWireHeaders(headers), body };
  return { type: "answer", answer };
}

/** Converts a shared outcome to the outcome for a caller. */
export function fromSharedOutcome(shared: SharedOutcome): RequestOutcome {
  return shared.type === "answer" ? fromWireAnswer(shared.answer) : shared;
}

/** Converts a shared outcome to the form that other entry hosts receive. */
export function toKnownOutcome(shared: SharedOutcome): KnownOutcome {
  if (shared.type === "answer") {
    return { type: "completed", answer: shared.answer };
  }
  return { type: shared.notRun ? "not-run" : "unknown" };
}
