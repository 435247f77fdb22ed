import type { LogRecord } from "@lagoonloom/records";

/** Result of an append as the appender sees it. */
export type AppendResult = "stored" | "unavailable" | "unknown";

/** Log in memory with the faults that its clients see. */
export type ModelLog = {
  records: LogRecord[];
  /** Offset of the oldest record that is still kept. */
  firstOffset: number;
  downUntilMs: number;
  /** Further appends that take effect without an answer. */
  lostAnswers: number;
  /** Further appends that are stored twice. */
  duplicates: number;
  /** Time in milliseconds until a record is seen by readers. */
  visibilityDelayMs: number;
  /** Called with each record in the order of the offsets. */
  onRecord: (record: LogRecord) => void;
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
    onRecord: () => undefined,
  };
}

/**
 * Appends a record unless the log is down.
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
  const copies = log.duplicates > 0 ? 2 : 1;
  if (copies === 2) log.duplicates--;
  for (let copy = 0; copy < copies; copy++) {
    const offset = log.firstOffset + log.records.length;
    const stored = { offset, timeMs: nowMs, ...record };
    log.records.push(stored);
    log.onRecord(stored);
  }
  if (log.lostAnswers === 0) return "stored";
  log.lostAnswers--;
  return "unknown";
}

/**
 * Returns the records from an offset on that readers see, or undefined if the
 * log is down. The offset may be older than the oldest record.
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
 * Drops the records below an offset, as a limited retention does.
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
