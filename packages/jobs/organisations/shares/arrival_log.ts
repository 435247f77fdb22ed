/**
 * Log of the jobs that organisations send, as their numbers.
 *
 * @module
 */

import type { JobEventLog } from "../../job_event_log.ts";

/** Interval in which the numbers of jobs are logged. */
const LOG_INTERVAL_MS = 10_000;

/** Log of the jobs that the organisations of one partition send. */
export type ArrivalLog = {
  count(
    organisation: string,
    job: { weight: number; isBeyondWeight: boolean },
  ): void;
  /** Logs the numbers if that is due. */
  check(): void;
};

/**
 * Creates a log of the jobs of a partition. An organisation that sends nothing
 * is not logged.
 *
 * @example
 * ```ts
 * const arrivals = createArrivalLog(3, events);
 * arrivals.count("league", { weight: 2.5, isBeyondWeight: false });
 * ```
 */
export function createArrivalLog(
  partition: number,
  events: JobEventLog,
): ArrivalLog {
  let loggedAtMs = performance.now();
  const counts = new Map<
    string,
    { weight: number; jobs: number; beyondWeight: number }
  >();
  return {
    count(organisation, { weight, isBeyondWeight }) {
      const { jobs, beyondWeight } = counts.get(organisation) ??
        { jobs: 0, beyondWeight: 0 };
      counts.set(organisation, {
        weight,
        jobs: jobs + 1,
        beyondWeight: beyondWeight + (isBeyondWeight ? 1 : 0),
      });
    },
    check() {
      if (performance.now() - loggedAtMs < LOG_INTERVAL_MS) return;
      loggedAtMs = performance.now();
      for (const [organisation, fields] of counts) {
        events.log("organisationJobs", { organisation, partition, ...fields });
      }
      counts.clear();
    },
  };
}
