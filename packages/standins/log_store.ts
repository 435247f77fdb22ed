/**
 * Implements the platform's log in memory, for tests.
 *
 * @module
 */

import type { LogPage } from "@lagoonloom/platform";
import type { LogRecord, Stream } from "@lagoonloom/records";

/** Faults of a log. Its HTTP server and its platform client apply them. */
export type LogFaults = {
  /** Whether every call fails. */
  isDown: boolean;
  /** Delay of every call in milliseconds. */
  delayMs: number;
  /** Number of further appends that are stored although the answer is lost. */
  lostAnswers: number;
  /** Number of further appends that are stored twice. */
  duplicates: number;
};

/** Log in memory. */
export type LogStore = {
  faults: LogFaults;
  append(stream: Stream, record: { id: string; body: unknown }): LogRecord;
  /** Returns up to `limit` records from an offset on. */
  read(stream: Stream, range: { from: number; limit: number }): LogPage;
  /** Resolves when a record from the offset on exists, or after the time. */
  waitFor(
    stream: Stream,
    wait: { from: number; waitMs: number },
  ): Promise<void>;
};

/** Options of {@linkcode createLogStore}. */
export type LogStoreOptions = {
  /** Age in milliseconds at which records are dropped; 7 days by default. */
  retentionMs?: number;
};

type StoredStream = { firstOffset: number; records: LogRecord[] };

const DEFAULT_RETENTION_MS = 7 * 24 * 3_600_000;

/**
 * Creates an empty log without faults.
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
  const waiters = new Set<() => void>();
  const faults = { isDown: false, delayMs: 0, lostAnswers: 0, duplicates: 0 };
  function openStream(name: Stream): StoredStream {
    const stream = streams.get(name) ?? { firstOffset: 0, records: [] };
    streams.set(name, stream);
    const oldestMs = Date.now() - retentionMs;
    const firstKept = stream.records.findIndex((it) => it.timeMs >= oldestMs);
    const dropped = firstKept < 0 ? stream.records.length : firstKept;
    stream.records.splice(0, dropped);
    stream.firstOffset += dropped;
    return stream;
  }
  function storeRecord(
    stream: StoredStream,
    id: string,
    body: unknown,
  ): LogRecord {
    const offset = stream.firstOffset + stream.records.length;
    const record = { offset, timeMs: Date.now(), id, body };
    stream.records.push(record);
    return record;
  }
  return {
    faults,
    append(name, { id, body }) {
      const stream = openStream(name);
      const record = storeRecord(stream, id, structuredClone(body));
      if (faults.duplicates > 0) {
        faults.duplicates--;
        storeRecord(stream, id, structuredClone(body));
      }
      for (const wake of [...waiters]) wake();
      return record;
    },
    read(name, { from, limit }) {
      const { firstOffset, records } = openStream(name);
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
        const { firstOffset, records } = openStream(name);
        return firstOffset + records.length > from;
      };
      while (!hasRecord() && Date.now() < deadlineMs && !faults.isDown) {
        await waitForWake(waiters, deadlineMs - Date.now());
      }
    },
  };
}

function waitForWake(waiters: Set<() => void>, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(wake, waitMs);
    waiters.add(wake);
    function wake() {
      clearTimeout(timer);
      waiters.delete(wake);
      resolve();
    }
  });
}
