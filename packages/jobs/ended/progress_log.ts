import { sleep } from "../_sleep.ts";
import type { KeyedRecord, Store, TopicPartition } from "../ports.ts";

/** Shortest time between two appends of a partition's progress. */
const FLUSH_INTERVAL_MS = 100;

/** Pause before an append is repeated. */
const RETRY_MS = 250;

/**
 * First wait for the answer to an append; it doubles with each repeat, since
 * the store may only be slow.
 */
const APPEND_TIMEOUT_MS = 500;

/** Longest wait for the answer to an append. */
const MAX_APPEND_TIMEOUT_MS = 2_000;

/** Sequence numbers between the first ones of two terms. */
const NUMBERS_PER_TERM = 1_000_000;

/** Most records of one append. */
const MAX_RECORDS = 500;

/** Writer of the progress of one partition under one term of ownership. */
export type ProgressLog = {
  /**
   * Stores the newest value of a key with the next batch; with `isUrgent` that
   * batch is not delayed to collect more.
   */
  put(
    key: string,
    value: () => string | undefined,
    options?: { isUrgent?: boolean },
  ): void;
  /** Calls back once everything put before this call is safe. */
  whenStored(callback: () => void): void;
  /** Whether something waits to be stored. */
  isPending(): boolean;
  /** Waits until everything is stored or the time is over. */
  drain(timeoutMs: number): Promise<boolean>;
  close(): void;
};

/** Options of {@linkcode createProgressLog}. */
export type ProgressLogOptions = {
  store: Store;
  place: TopicPartition;
  writer: { name: string; epoch: number };
  /** Tells that a newer owner has taken over. */
  onFenced(): void;
  /** Tells of an append that failed. */
  onFailure(reason: string): void;
};

/**
 * Creates a writer that collects records and appends them in batches, one at a
 * time. A batch whose answer was lost is repeated under its sequence number,
 * so that it is stored once and in order.
 *
 * @example
 * ```ts
 * const log = createProgressLog({ store, place, writer, onFenced, onFailure });
 * log.put(job.id, () => encodeProgress(job, failed));
 * ```
 */
export function createProgressLog(options: ProgressLogOptions): ProgressLog {
  const values = new Map<string, () => string | undefined>();
  let callbacks: (() => void)[] = [];
  let isClosed = false;
  let isRunning = false;
  let lastFlushMs = -Infinity;
  // A number that an earlier writer has used would be taken for a repeat.
  let sequence = options.writer.epoch * NUMBERS_PER_TERM;

  let isUrgent = false;
  let hurry: (() => void) | undefined;

  /** Waits for more records, but not if one of them is urgent. */
  const collect = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      hurry = () => {
        clearTimeout(timer);
        resolve();
      };
    });

  const appendBatch = async (records: KeyedRecord[]): Promise<boolean> => {
    let timeoutMs = APPEND_TIMEOUT_MS;
    while (!isClosed) {
      const outcome = await options.store.append(options.place, {
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
        // A term is fenced by its epoch; only its first number is not known.
        sequence = outcome.expected;
        continue;
      }
      options.onFailure("reason" in outcome ? outcome.reason : outcome.type);
      await sleep(RETRY_MS);
    }
    return false;
  };

  const flush = async (): Promise<void> => {
    isRunning = true;
    while (!isClosed && (values.size > 0 || callbacks.length > 0)) {
      const waitMs = lastFlushMs + FLUSH_INTERVAL_MS - performance.now();
      const mayCollect = values.size > 0 && !isUrgent;
      if (waitMs > 0 && mayCollect) await collect(waitMs);
      isUrgent = false;
      lastFlushMs = performance.now();
      const records = takeBatch(values);
      const isWhole = values.size === 0;
      const waiting = isWhole ? callbacks : [];
      if (isWhole) callbacks = [];
      if (records.length > 0 && !await appendBatch(records)) break;
      for (const callback of waiting) callback();
    }
    isRunning = false;
  };

  const wake = () => {
    if (!isRunning && !isClosed) void flush();
  };

  return {
    put(key, value, putOptions) {
      values.set(key, value);
      if (putOptions?.isUrgent === true) {
        isUrgent = true;
        hurry?.();
      }
      wake();
    },
    whenStored(callback) {
      callbacks.push(callback);
      wake();
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
    if (records.length >= MAX_RECORDS) break;
  }
  return records;
}
