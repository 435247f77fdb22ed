import type { LogPage } from "@lagoonloom/platform";
import type { LogRecord, Stream } from "@lagoonloom/records";

/** Faults that a log shows while they are set. */
export type LogFaults = {
  /** Refuses every call. */
  isDown: boolean;
  /** Delays every call by this number of milliseconds. */
  delayMs: number;
  /** Number of further appends that take effect without an answer. */
  lostAnswers: number;
  /** Number of further appends that are stored twice. */
  duplicates: number;
};

/** Log in memory. */
export type LogStore = {
  faults: LogFaults;
  append(stream: Stream, record: { id: string; body: unknown }): LogRecord;
  read(stream: Stream, range: { from: number; limit: number }): LogPage;
  /** Resolves when the stream reaches past the offset or the time is over. */
  waitFor(
    stream: Stream,
    wait: { from: number; waitMs: number },
  ): Promise<void>;
};

/** Options of {@linkcode createLogStore}. */
export type LogStoreOptions = { retentionMs?: number };

type StoredStream = { firstOffset: number; records: LogRecord[] };

const DEFAULT_RETENTION_MS = 7 * 24 * 3_600_000;

/**
 * Creates a log in memory that drops records older than its retention.
 *
 * @example
 * ```ts
 * const store = createLogStore({ retentionMs: 60_000 });
 * store.append("control", { id: "a", body: {} });
 * ```
 */
export function createLogStore(options: LogStoreOptions = {}): LogStore {
  const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
  const streams = new Map<Stream, StoredStream>();
  const waiting = new Set<() => void>();
  const faults = { isDown: false, delayMs: 0, lostAnswers: 0, duplicates: 0 };
  function open(name: Stream): StoredStream {
    const stream = streams.get(name) ?? { firstOffset: 0, records: [] };
    streams.set(name, stream);
    const oldestMs = Date.now() - retentionMs;
    const kept = stream.records.findIndex((it) => it.timeMs >= oldestMs);
    const dropped = kept < 0 ? stream.records.length : kept;
    stream.records.splice(0, dropped);
    stream.firstOffset += dropped;
    return stream;
  }
  function store(stream: StoredStream, id: string, body: unknown): LogRecord {
    const offset = stream.firstOffset + stream.records.length;
    const record = { offset, timeMs: Date.now(), id, body };
    stream.records.push(record);
    return record;
  }
  return {
    faults,
    append(name, { id, body }) {
      const stream = open(name);
      const record = store(stream, id, structuredClone(body));
      if (faults.duplicates > 0) {
        faults.duplicates--;
        store(stream, id, structuredClone(body));
      }
      for (const wake of [...waiting]) wake();
      return record;
    },
    read(name, { from, limit }) {
      const { firstOffset, records } = open(name);
      const start = Math.max(0, from - firstOffset);
      const page = records.slice(start, start + limit);
      return {
        records: structuredClone(page),
        nextOffset: page.at(-1)?.offset === undefined
          ? firstOffset + records.length
          : page.at(-1)!.offset + 1,
        oldestOffset: firstOffset,
        retentionMs,
      };
    },
    async waitFor(name, { from, waitMs }) {
      const deadlineMs = Date.now() + waitMs;
      const hasRecord = () => {
        const { firstOffset, records } = open(name);
        return firstOffset + records.length > from;
      };
      while (!hasRecord() && Date.now() < deadlineMs && !faults.isDown) {
        await waitForWake(waiting, deadlineMs - Date.now());
      }
    },
  };
}

function waitForWake(waiting: Set<() => void>, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(wake, waitMs);
    waiting.add(wake);
    function wake() {
      clearTimeout(timer);
      waiting.delete(wake);
      resolve();
    }
  });
}
