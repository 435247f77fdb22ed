/**
 * Problem details (RFC 9457) of error responses to callers.
 *
 * @module
 */

/** Problem details with the outcome of the caller's request. */
export type ProblemDetails = {
  status: number;
  /** `not-run` only if the request certainly had no effect. */
  outcome: "not-run" | "unknown";
  /** Machine-readable reason. */
  reason: string;
  /** One sentence for the developer of the caller. */
  detail: string;
  /** Time after which a retry may succeed, in milliseconds. */
  retryAfterMs?: number | undefined;
};

/**
 * Encodes problem details as JSON.
 *
 * @example
 * ```ts
 * const problem = {
 *   status: 503,
 *   outcome: "not-run",
 *   reason: "queue-full",
 *   detail: "The queue of the service is full.",
 * } as const;
 * encodeProblem(problem);
 * ```
 */
export function encodeProblem(problem: ProblemDetails): string {
  return JSON.stringify({
    type: `urn:lagoonloom:problem:${problem.reason}`,
    title: problem.reason,
    status: problem.status,
    detail: problem.detail,
    outcome: problem.outcome,
    reason: problem.reason,
  });
}
