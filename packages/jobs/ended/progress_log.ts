/**
 * Writes the progress of one partition to the store in batches.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { KeyedRecord, Store, TopicPartition } from "../ports.ts";
import { countPieces, splitValue } from "./record_pieces.ts";

/** Shortest time between the starts of two appends of collected records. */
const FLUSH_INTERVAL_MS = 100;

/** Delay before an append is retried. */
const RETRY_DELAY_MS = 250;

/**
 * Timeout of the first attempt to append a batch. It doubles with each retry,
 * since the store may only be slow.
 */
const INITIAL_APPEND_TIMEOUT_MS = 500;

/** Longest timeout of an attempt to append a batch. */
const MAX_APPEND_TIMEOUT_MS = 1_000;

/** Distance between the first sequence numbers of two epochs. */
const SEQUENCE_NUMBERS_PER_EPOCH = 1_000_000;

/** Most values in one append. */
const MAX_BATCH_VALUES = 500;

/** Length from which on an append takes no further value. */
const MAX_BATCH_BYTES = 1_048_576;

/** Writer of the progress of one partition in one epoch of its owner. */
export type ProgressLog = {
  /**
   * Stores the value of a key with the next batch. The value is computed when
   * the batch is sent, and an undefined value removes the key. A key that waits
   * already keeps its place, unless the value `isLast`: then it is stored after
   * all others that were put before, as it relies on them. With `isUrgent` the
   * batch is sent without waiting for more records.
   */
  put(
    key: string,
    value: () => string | undefined,
    options?: { isUrgent?: boolean; isLast?: boolean },
  ): void;
  /** Calls back once all records put before this call are stored. */
  whenStored(callback: () => void): void;
  /** Returns whether records or callbacks are still being processed. */
  isPending(): boolean;
  /**
   * Waits until all records are stored or the timeout expires, and returns
   * whether they are stored.
   */
  drain(timeoutMs: number): Promise<boolean>;
  /** Notes how many pieces of a value an earlier writer has stored. */
  restorePieces(counts: ReadonlyMap<string, number>): void;
  /** Stops writing; records that are not stored yet are discarded. */
  close(): void;
};

/** Options of {@linkcode createProgressLog}. */
export type ProgressLogOptions = {
  store: Store;
  partition: TopicPartition;
  writer: { name: string; epoch: number };
  /** Called when the store rejects the epoch as older than another one. */
  onFenced(): void;
  /** Called when an attempt to append has failed and will be retried. */
  onFailure(failure: AppendFailure): void;
  /**
   * Called when the store will never take a value, which is dropped. Callbacks
   * that wait for it also wait for the values that are put in this call.
   */
  onRejected(failure: AppendFailure): void;
};

/** Attempt to append a batch that has failed. */
export type AppendFailure = {
  reason: string;
  /** Number of records in the batch. */
  records: number;
  /** Key of its largest record, and the length of that record's value. */
  largestKey: string;
  largestBytes: number;
};

/** Value that waits for its append, in one record or in several. */
type BatchEntry = { key: string; records: KeyedRecord[]; bytes: number };

/** Result of appending a batch; `rejected` if a part of it was dropped. */
type BatchResult = "stored" | "rejected" | "ended";

/**
 * Creates a writer that collects records and appends them in batches, one at a
 * time. A batch whose answer was lost is retried under the same sequence
 * number, so that it is stored exactly once and in order.
 *
 * @example
 * ```ts
 * const log = createProgressLog({
 *   store,
 *   partition,
 *   writer,
 *   onFenced,
 *   onFailure,
 * });
 * log.put(job.id, () => encodeProgress(job, failed));
 * ```
 */
export function createProgressLog(options: ProgressLogOptions): ProgressLog {
  const values = new Map<string, () => string | undefined>();
  const pieceCounts = new Map<string, number>();
  let callbacks: (() => void)[] = [];
  let isClosed = false;
  let isRunning = false;
  let lastFlushMs = -Infinity;
  // The store would take a number that an earlier writer used for a retry.
  let sequence = options.writer.epoch * SEQUENCE_NUMBERS_PER_EPOCH;

  let isUrgent = false;
  let flushNow: (() => void) | undefined;

  /** Waits for more records; an urgent one ends the wait. */
  const waitForMore = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      flushNow = () => {
        clearTimeout(timer);
        resolve();
      };
    });

  const appendBatch = async (entries: BatchEntry[]): Promise<BatchResult> => {
    const records = entries.flatMap((entry) => entry.records);
    let timeoutMs = INITIAL_APPEND_TIMEOUT_MS;
    while (!isClosed) {
      const outcome = await options.store.append(options.partition, {
        records,
        writer: { ...options.writer, sequence },
        timeoutMs,
      });
      timeoutMs = Math.min(2 * timeoutMs, MAX_APPEND_TIMEOUT_MS);
      if (outcome.type === "stored") {
        sequence++;
        notePieces(entries);
        return "stored";
      }
      if (outcome.type === "fenced") {
        options.onFenced();
        return "ended";
      }
      if (
        outcome.type === "outOfSequence" && outcome.expected !== undefined
      ) {
        // The epoch fences older writers, so that the expected number is safe.
        sequence = outcome.expected;
        continue;
      }
      const reason = "reason" in outcome ? outcome.reason : outcome.type;
      const failure = describeFailure(reason, records);
      if (outcome.type === "rejected") return await isolate(entries, failure);
      options.onFailure(failure);
      await sleep(RETRY_DELAY_MS);
    }
    return "ended";
  };

  /** Drops the value that the store rejects, and stores the other ones. */
  const isolate = async (
    entries: BatchEntry[],
    failure: AppendFailure,
  ): Promise<BatchResult> => {
    if (entries.length === 1) {
      options.onRejected({ ...failure, largestKey: entries[0]!.key });
      return "rejected";
    }
    const middle = Math.ceil(entries.length / 2);
    const first = await appendBatch(entries.slice(0, middle));
    if (first === "ended") return "ended";
    const second = await appendBatch(entries.slice(middle));
    return second === "stored" ? first : second;
  };

  const notePieces = (entries: readonly BatchEntry[]) => {
    for (const { key, records } of entries) {
      const count = countPieces(records);
      if (count > 0) pieceCounts.set(key, count);
      else pieceCounts.delete(key);
    }
  };

  const takeBatch = (): BatchEntry[] => {
    const entries: BatchEntry[] = [];
    let bytes = 0;
    for (const [key, value] of values) {
      const entry = createEntry({ key, value: value() }, pieceCounts.get(key));
      bytes += entry.bytes;
      if (entries.length > 0 && bytes > MAX_BATCH_BYTES) break;
      entries.push(entry);
      values.delete(key);
      if (entries.length >= MAX_BATCH_VALUES) break;
    }
    return entries;
  };

  const flush = async (): Promise<void> => {
    isRunning = true;
    while (!isClosed && (values.size > 0 || callbacks.length > 0)) {
      const waitMs = lastFlushMs + FLUSH_INTERVAL_MS - performance.now();
      const mayWait = values.size > 0 && !isUrgent;
      if (waitMs > 0 && mayWait) await waitForMore(waitMs);
      isUrgent = false;
      lastFlushMs = performance.now();
      const entries = takeBatch();
      const isLastBatch = values.size === 0;
      const dueCallbacks = isLastBatch ? callbacks : [];
      if (isLastBatch) callbacks = [];
      const result = entries.length === 0
        ? "stored"
        : await appendBatch(entries);
      if (result === "ended") break;
      if (result === "rejected" && values.size > 0) {
        callbacks = [...dueCallbacks, ...callbacks];
      } else for (const callback of dueCallbacks) callback();
    }
    isRunning = false;
  };

  const startFlush = () => {
    if (!isRunning && !isClosed) void flush();
  };

  return {
    put(key, value, putOptions) {
      if (putOptions?.isLast === true) values.delete(key);
      values.set(key, value);
      if (putOptions?.isUrgent === true) {
        isUrgent = true;
        flushNow?.();
      }
      startFlush();
    },
    whenStored(callback) {
      callbacks.push(callback);
      startFlush();
    },
    isPending: () => isRunning,
    async drain(timeoutMs) {
      const endMs = performance.now() + timeoutMs;
      while (isRunning && performance.now() < endMs) await sleep(20);
      return !isRunning;
    },
    restorePieces(counts) {
      for (const [key, count] of counts) pieceCounts.set(key, count);
    },
    close() {
      isClosed = true;
    },
  };
}

function createEntry(
  record: KeyedRecord,
  previousPieces: number | undefined,
): BatchEntry {
  const records = splitValue(record, previousPieces ?? 0);
  const bytes = records.reduce(
    (sum, { key, value }) => sum + key.length + Buffer.byteLength(value ?? ""),
    0,
  );
  return { key: record.key, records, bytes };
}

function describeFailure(
  reason: string,
  records: readonly KeyedRecord[],
): AppendFailure {
  const failure = {
    reason,
    records: records.length,
    largestKey: "",
    largestBytes: -1,
  };
  for (const { key, value } of records) {
    const bytes = Buffer.byteLength(value ?? "");
    if (bytes <= failure.largestBytes) continue;
    failure.largestKey = key;
    failure.largestBytes = bytes;
  }
  return failure;
}
