/**
 * Follows the failure reports of all members.
 *
 * @module
 */

import { followTopic, type TopicFollower } from "../owned/follow_topic.ts";
import type { Store, StoredRecord } from "../ports.ts";
import { decodeReport, REACH_PARTITION } from "./failure_report.ts";
import type { Reporters } from "./is_isolated.ts";

/** Longest time for which a read waits for a report. */
const READ_WAIT_MS = 5_000;

/** Pause between two reads, which bounds them while many reports are stored. */
const READ_PAUSE_MS = 500;

/** Age from which a report that is not repeated does not count. */
const MAX_REPORT_AGE_MS = 5_000;

/** Time without an answered read after which new records may be old ones. */
const MAX_READ_GAP_MS = READ_WAIT_MS + MAX_REPORT_AGE_MS;

/** Report that has been read. */
type ReadReport = { target: string; reporter: string; readAtMs: number };

/** Running follower of the failure reports. */
export type ReportFollower = {
  /** Returns the reports that were stored a moment ago. */
  reporters(): Reporters;
  close(): void;
};

/** Options of {@linkcode followReports}. */
export type ReportFollowerOptions = {
  /** Called with the address of the owner in each report that is read. */
  onReport(target: string): void;
  onFailure(reason: string): void;
};

/**
 * Starts to follow the failure reports. What was stored before does not count,
 * as nothing tells how old it is; a report that still holds is soon repeated.
 *
 * @example
 * ```ts
 * const follower = followReports(store, { onReport, onFailure });
 * ```
 */
export function followReports(
  store: Store,
  { onReport, onFailure }: ReportFollowerOptions,
): ReportFollower {
  const reports = new Map<string, ReadReport>();
  let lastReadAtMs = -Infinity;

  const applyChange = ({ key, value }: StoredRecord) => {
    const report = decodeReport(value);
    if (report === undefined) return void reports.delete(key);
    reports.set(key, { ...report, readAtMs: performance.now() });
    onReport(report.target);
  };

  const follower: TopicFollower = followTopic(store, REACH_PARTITION, {
    waitMs: READ_WAIT_MS,
    pauseMs: READ_PAUSE_MS,
    onRecords(records, isSnapshot) {
      const gapMs = performance.now() - lastReadAtMs;
      lastReadAtMs = performance.now();
      if (isSnapshot || gapMs > MAX_READ_GAP_MS) reports.clear();
      else records.forEach(applyChange);
    },
    onCurrent() {
      lastReadAtMs = performance.now();
    },
    onFailure,
  });

  return {
    reporters() {
      const oldestMs = performance.now() - MAX_REPORT_AGE_MS;
      const reporters = new Map<string, Set<string>>();
      for (const [key, { target, reporter, readAtMs }] of reports) {
        if (readAtMs < oldestMs) reports.delete(key);
        else {
          const known = reporters.get(target) ?? new Set();
          reporters.set(target, known.add(reporter));
        }
      }
      return reporters;
    },
    close: follower.close,
  };
}
