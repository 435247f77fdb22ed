import type { ProblemDetails } from "@lagoonloom/callers";
import type { RequestFailure } from "./_routed_request.ts";

/** HTTP status of a failure by reason, unless it is 503 or 502. */
const STATUS_BY_REASON: Record<string, number> = {
  "unknown-service": 404,
  "key-reused": 422,
  "key-required": 400,
  deadline: 504,
  "answer-too-large": 502,
};

const DETAIL_BY_REASON: Record<string, string> = {
  "unknown-service": "The set in force has no service of this name.",
  "queue-full": "The queue of the service is full.",
  deadline: "The request can't complete before its deadline.",
  "no-executor": "No executor of the service is available.",
  "key-reused": "The idempotency key was used for another request before.",
  "key-required": "An Idempotency-Key is required for this request.",
  "log-unavailable": "The order can't be claimed while the log is unavailable.",
  "claim-timeout": "The claim of the order was not decided in time.",
  "claim-pending": "An earlier claim of the idempotency key is still pending.",
  "claims-full": "This entry host can't keep any more claims.",
  stopping: "This entry host is stopping.",
  "holder-gone": "The entry host that claimed the order is no longer a member.",
  "holder-released": "The entry host that claimed the order did not run it.",
  "claimed-before": "The order was claimed before and may have run.",
  "answer-not-kept": "The order ran, but its answer was not stored.",
  "answer-unavailable": "The order ran, but its answer can't be read now.",
  "outcome-unknown": "The order may have run; its outcome is not known.",
};

/** Reasons after which a repeat of the request may succeed. */
const TRANSIENT_REASONS = new Set([
  "log-unavailable",
  "claim-timeout",
  "stopping",
  "answer-unavailable",
]);

/** Delay before a repeat, unless the failure states another one. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Creates the problem details for a request that ended without an answer. */
export function toProblemDetails(failure: RequestFailure): ProblemDetails {
  const { reason, retryAfterMs = DEFAULT_RETRY_AFTER_MS } = failure;
  const isTransient = TRANSIENT_REASONS.has(reason) ||
    (failure.notRun && reason === "deadline");
  const status = isTransient
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
