/**
 * Fold of the stream `control`: applies its records to the state of a daemon.
 *
 * @module
 */

import {
  applyRecord,
  emptyFleetState,
  findRecordOutcome,
  type FleetState,
  type RecentOutcome,
  type RecordOutcome,
} from "@lagoonloom/decisions";
import type { LogRecord } from "@lagoonloom/records";

/** Records that are kept for peers that can't reach the log. */
const MAX_RECENT_RECORDS = 10_000;

/** Notification of a change of the folded state. */
export type FoldChange =
  | { type: "record"; record: LogRecord; outcome: RecordOutcome }
  /** The whole state was replaced by a newer one. */
  | { type: "replaced" }
  /** All records of one batch are folded. */
  | { type: "settled" };

/**
 * State of this daemon that results from applying the records of the stream
 * `control` in the order of their offsets. All daemons thus reach the same
 * state.
 */
export type ControlFold = {
  /** Returns the current state, which callers must not change. */
  state(): FleetState;
  /** Applies records in offset order; returns false if an offset is missing. */
  fold(records: readonly LogRecord[]): boolean;
  /**
   * Replaces the state if the new one is at a higher offset, or returns false.
   */
  replace(state: FleetState): boolean;
  /** Returns recent records from an offset on, or none if it was dropped. */
  recentRecords(from: number, limit: number): LogRecord[];
  /** Returns the outcome of a record; undefined if it isn't folded in time. */
  awaitOutcome(
    id: string,
    waitMs: number,
  ): Promise<RecentOutcome | undefined>;
  onChange(listener: (change: FoldChange) => void): void;
};

/**
 * Creates the fold of the stream `control`. Its offset never decreases, so the
 * set in force never reverts to an earlier version.
 *
 * @example
 * ```ts
 * const fold = createControlFold();
 * fold.fold(page.records);
 * ```
 */
export function createControlFold(): ControlFold {
  let state = emptyFleetState();
  let recent: LogRecord[] = [];
  const listeners: ((change: FoldChange) => void)[] = [];
  const outcomeChecks = new Set<() => void>();
  function notify(change: FoldChange): void {
    for (const listener of listeners) listener(change);
  }
  function notifySettled(): void {
    notify({ type: "settled" });
    for (const check of [...outcomeChecks]) check();
  }
  function foldRecord(record: LogRecord): void {
    const outcome = applyRecord(state, record);
    recent.push(record);
    if (recent.length > 2 * MAX_RECENT_RECORDS) {
      recent = recent.slice(-MAX_RECENT_RECORDS);
    }
    notify({ type: "record", record, outcome });
  }
  return {
    state: () => state,
    fold(records) {
      let isComplete = true;
      let count = 0;
      for (const record of records) {
        if (record.offset < state.nextOffset) continue;
        isComplete = record.offset === state.nextOffset;
        if (!isComplete) break;
        foldRecord(record);
        count++;
      }
      if (count > 0) notifySettled();
      return isComplete;
    },
    replace(next) {
      if (next.nextOffset <= state.nextOffset) return false;
      state = next;
      recent = [];
      notify({ type: "replaced" });
      notifySettled();
      return true;
    },
    recentRecords(from, limit) {
      const first = recent[0]?.offset;
      if (first === undefined || from < first) return [];
      return recent.slice(from - first, from - first + limit);
    },
    awaitOutcome: (id, waitMs) =>
      awaitOutcome(() => findRecordOutcome(state, id), {
        checks: outcomeChecks,
        waitMs,
      }),
    onChange: (listener) => void listeners.push(listener),
  };
}

function awaitOutcome(
  find: () => RecentOutcome | undefined,
  options: { checks: Set<() => void>; waitMs: number },
): Promise<RecentOutcome | undefined> {
  const { checks, waitMs } = options;
  return new Promise((resolve) => {
    const timer = setTimeout(() => finish(undefined), waitMs);
    checks.add(check);
    check();
    function check() {
      const found = find();
      if (found !== undefined) finish(found);
    }
    function finish(found: RecentOutcome | undefined) {
      clearTimeout(timer);
      checks.delete(check);
      resolve(found);
    }
  });
}
