/** Problem answer (RFC 9457) with the outcome of the caller's request. */
export type ProblemDetails = {
  status: number;
  /** `not-run` only if the request provably had no effect. */
  outcome: "not-run" | "unknown";
  /** Machine-readable reason. */
  reason: string;
  /** One sentence for people. */
  detail: string;
  /** Time after which a repeat may succeed, in milliseconds. */
  retryAfterMs?: number | undefined;
};

/**
 * Encodes a problem answer as JSON.
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
