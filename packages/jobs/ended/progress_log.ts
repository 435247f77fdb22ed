/**
 * Writes the progress of one partition to the store in batches.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { KeyedRecord, Store, TopicPartition } from "../ports.ts";

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

/** Most records in one append. */
const MAX_BATCH_RECORDS = 500;

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

  const appendBatch = async (records: KeyedRecord[]): Promise<boolean> => {
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
        return true;
      }
      if (outcome.type === "fenced") {
        options.onFenced();
        return false;
      }
      if (
        outcome.type === "outOfSequence" && outcome.expected !== undefined
      ) {
        // The epoch fences older writers, so that the expected number is safe.
        sequence = outcome.expected;
        continue;
      }
      const reason = "reason" in outcome ? outcome.reason : outcome.type;
      options.onFailure(describeFailure(reason, records));
      await sleep(RETRY_DELAY_MS);
    }
    return false;
  };

  const flush = async (): Promise<void> => {
    isRunning = true;
    while (!isClosed && (values.size > 0 || callbacks.length > 0)) {
      const waitMs = lastFlushMs + FLUSH_INTERVAL_MS - performance.now();
      const mayWait = values.size > 0 && !isUrgent;
      if (waitMs > 0 && mayWait) await waitForMore(waitMs);
      isUrgent = false;
      lastFlushMs = performance.now();
      const records = takeBatch(values);
      const isLastBatch = values.size === 0;
      const dueCallbacks = isLastBatch ? callbacks : [];
      if (isLastBatch) callbacks = [];
      if (records.length > 0 && !await appendBatch(records)) break;
      for (const callback of dueCallbacks) callback();
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
    close() {
      isClosed = true;
    },
  };
}

function takeBatch(
  values: Map<string, () => string | undefined>,
): KeyedRecord[] {
  const records: KeyedRecord[] = [];
  for (const [key, value] of values) {
    records.push({ key, value: value() });
    values.delete(key);
    if (records.length >= MAX_BATCH_RECORDS) break;
  }
  return records;
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
