/**
 * Simulates the platform's log in virtual time, with outages, delays,
 * duplicates and lost answers.
 *
 * @module
 */

import type { LogRecord } from "@lagoonloom/records";

/**
 * Result of an append as the client sees it. After `unknown`, the record may be
 * stored or not.
 */
export type AppendResult = "stored" | "unavailable" | "unknown";

/** Simulated log and its faults. */
export type ModelLog = {
  records: LogRecord[];
  /** Offset of the oldest retained record. */
  firstOffset: number;
  /** Time in milliseconds until which all calls fail. */
  downUntilMs: number;
  /** Number of further appends that are stored although the answer is lost. */
  lostAnswers: number;
  /** Number of further appends that are stored twice. */
  duplicates: number;
  /** Delay in milliseconds after which readers see a record. */
  visibilityDelayMs: number;
  /** Called with each stored record in the order of the offsets. */
  onAppend: (record: LogRecord) => void;
};

/**
 * Creates an empty log.
 *
 * @example
 * ```ts
 * const log = createModelLog();
 * ```
 */
export function createModelLog(): ModelLog {
  return {
    records: [],
    firstOffset: 0,
    downUntilMs: 0,
    lostAnswers: 0,
    duplicates: 0,
    visibilityDelayMs: 0,
    onAppend: () => undefined,
  };
}

/**
 * Appends a record at the current time unless the log is down.
 *
 * @example
 * ```ts
 * const result = appendToLog(log, { id: "a", body }, { nowMs: 0 });
 * ```
 */
export function appendToLog(
  log: ModelLog,
  record: { id: string; body: unknown },
  { nowMs }: { nowMs: number },
): AppendResult {
  if (nowMs < log.downUntilMs) return "unavailable";
  const copyCount = log.duplicates > 0 ? 2 : 1;
  if (copyCount === 2) log.duplicates--;
  for (let copy = 0; copy < copyCount; copy++) {
    const offset = log.firstOffset + log.records.length;
    const stored = { offset, timeMs: nowMs, ...record };
    log.records.push(stored);
    log.onAppend(stored);
  }
  if (log.lostAnswers === 0) return "stored";
  log.lostAnswers--;
  return "unknown";
}

/**
 * Returns the visible records from an offset on, or undefined if the log is
 * down. Records that are no longer retained are skipped.
 *
 * @example
 * ```ts
 * const records = readLog(log, 0, { nowMs: 0 });
 * ```
 */
export function readLog(
  log: ModelLog,
  from: number,
  { nowMs }: { nowMs: number },
): LogRecord[] | undefined {
  if (nowMs < log.downUntilMs) return undefined;
  return log.records.slice(Math.max(0, from - log.firstOffset))
    .filter(({ timeMs }) => timeMs + log.visibilityDelayMs <= nowMs);
}

/**
 * Drops the records below an offset, as happens when their retention expires.
 *
 * @example
 * ```ts
 * dropRecords(log, 100);
 * ```
 */
export function dropRecords(log: ModelLog, below: number): void {
  const count = Math.max(0, below - log.firstOffset);
  log.records.splice(0, count);
  log.firstOffset += count;
}
