/**
 * Time limits of calls that follow how long a member takes to answer.
 *
 * @module
 */

/** Multiple of the time of the last answer that the next call gets. */
const ANSWER_MARGIN = 3;

/** Factor by which the time of a call grows after one without an answer. */
const GROWTH = 2;

/**
 * Time limit of a call: a fixed one, or a range within which it follows the
 * answers of the member.
 */
export type CallTimeout = number | {
  /** Limit while the member answers quickly. */
  leastMs: number;
  /** Limit up to which calls without an answer raise it. */
  mostMs: number;
};

/** Time limits of the calls to one member. */
export type CallTimes = {
  /** Returns the time limit of the next call of an RPC, in milliseconds. */
  next(call: string, timeout: CallTimeout): number;
  /** Notes that a call of an RPC was answered. */
  noteAnswer(call: string, tookMs: number): void;
  /** Notes that a call of an RPC had no answer within its time limit. */
  noteTimeout(call: string, timeoutMs: number): void;
};

/**
 * Creates the time limits of the calls to a member. With a fixed one, all calls
 * fail alike where an answer takes longer. Each RPC counts for itself, as some
 * wait for the store.
 *
 * @example
 * ```ts
 * const times = createCallTimes();
 * const timeoutMs = times.next("report", { leastMs: 400, mostMs: 2_000 });
 * ```
 */
export function createCallTimes(): CallTimes {
  /** Time that an answer is expected to need at most, by RPC. */
  const expectedMs = new Map<string, number>();
  return {
    next(call, timeout) {
      if (typeof timeout === "number") return timeout;
      const { leastMs, mostMs } = timeout;
      const neededMs = Math.max(leastMs, expectedMs.get(call) ?? 0);
      return Math.ceil(Math.min(mostMs, neededMs));
    },
    noteAnswer(call, tookMs) {
      expectedMs.set(call, ANSWER_MARGIN * tookMs);
    },
    noteTimeout(call, timeoutMs) {
      const beforeMs = expectedMs.get(call) ?? 0;
      expectedMs.set(call, Math.max(beforeMs, GROWTH * timeoutMs));
    },
  };
}
