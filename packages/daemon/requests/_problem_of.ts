import type { ProblemAnswer } from "@lagoonloom/callers";
import type { OrderFailure } from "./_order.ts";

const STATUS_BY_REASON: Record<string, number> = {
  "unknown-service": 404,
  "key-reused": 422,
  "key-required": 400,
  deadline: 504,
};

const DETAIL_BY_REASON: Record<string, string> = {
  "unknown-service": "The set in force has no service of this name.",
  "queue-full": "The queue of the service is full.",
  deadline: "The deadline does not suffice for the request.",
  "no-executor": "No executor of the service is available.",
  "key-reused": "The idempotency key was used with another request.",
  "key-required": "An Idempotency-Key is required for this request.",
  "log-unavailable": "The claim of the order can't be decided now.",
  stopping: "This entry host is stopping.",
  "holder-gone": "The entry host that took the order is gone.",
  "answer-not-kept": "The order ran, but its answer was not kept.",
};

/** Makes the problem answer for a request without an answer. */
export function problemOf(failure: OrderFailure): ProblemAnswer {
  const { reason, retryAfterMs } = failure;
  const status = failure.notRun && reason === "deadline"
    ? 503
    : STATUS_BY_REASON[reason] ?? (failure.notRun ? 503 : 502);
  return {
    status,
    outcome: failure.notRun ? "not-run" : "unknown",
    reason,
    detail: DETAIL_BY_REASON[reason] ??
      (failure.notRun
        ? "The request was not sent to an executor."
        : "The exchange with the executor ended without an answer."),
    retryAfterMs: status === 503 ? retryAfterMs : undefined,
  };
}
