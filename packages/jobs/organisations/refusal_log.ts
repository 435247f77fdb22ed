/**
 * Log of calls that were refused because of their key. Answers floods of such
 * calls: it writes a few lines with numbers, and never the key.
 *
 * @module
 */

import type { JobEventLog } from "../job_event_log.ts";

/** Time for which calls are counted before they are logged together. */
const INTERVAL_MS = 1_000;

/** Reason why a call was refused: its key, or the age of the configuration. */
export type RefusalReason = "unknownKey" | "outdated";

type Count = { queue: string; reason: RefusalReason; calls: number };

/** Log of refused calls. */
export type RefusalLog = {
  count(queue: string, reason: RefusalReason): void;
};

/**
 * Creates a log of refused calls. The first call of a queue is logged at once,
 * those of the next second together.
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
  const counts = new Map<string, Count>();

  const write = ({ queue, reason, calls }: Count) => {
    if (reason === "unknownKey") events.log("keysRejected", { queue, calls });
    else {
      const age = Math.round(Math.min(ageMs(), Number.MAX_SAFE_INTEGER));
      events.log("callsOutdated", { queue, calls, ageMs: age });
    }
  };

  const flush = (id: string) => {
    const count = counts.get(id);
    if (count === undefined) return;
    if (count.calls === 0) {
      counts.delete(id);
      return;
    }
    write(count);
    count.calls = 0;
    schedule(id);
  };

  const schedule = (id: string) => {
    setTimeout(() => flush(id), INTERVAL_MS).unref();
  };

  return {
    count(queue, reason) {
      const id = `${reason}/${queue}`;
      const count = counts.get(id);
      if (count !== undefined) {
        count.calls++;
        return;
      }
      counts.set(id, { queue, reason, calls: 0 });
      write({ queue, reason, calls: 1 });
      schedule(id);
    },
  };
}
