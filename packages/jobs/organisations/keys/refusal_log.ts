/**
 * Log of calls that were refused because of their key. Answers floods of such
 * calls: it writes a few lines with numbers, and never the key.
 *
 * @module
 */

import { createBurstCounter } from "../../burst_counter.ts";
import type { JobEventLog } from "../../job_event_log.ts";

/** Reason why a call was refused: its key, or the age of the configuration. */
export type RefusalReason = "unknownKey" | "outdated";

/** Log of refused calls. */
export type RefusalLog = {
  count(queue: string, reason: RefusalReason): void;
};

/**
 * Creates a log of refused calls by queue.
 *
 * @example
 * ```ts
 * createRefusalLog(events, { ageMs }).count(queue.name, "unknownKey");
 * ```
 */
export function createRefusalLog(
  events: JobEventLog,
  { ageMs }: { ageMs(): number },
): RefusalLog {
  const counters = {
    unknownKey: createBurstCounter((queue, calls) =>
      events.log("keysRejected", { queue, calls })
    ),
    outdated: createBurstCounter((queue, calls) => {
      const age = Math.round(Math.min(ageMs(), Number.MAX_SAFE_INTEGER));
      events.log("callsOutdated", { queue, calls, ageMs: age });
    }),
  };
  return { count: (queue, reason) => counters[reason](queue) };
}
