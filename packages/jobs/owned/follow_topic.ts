/**
 * Follower of a compacted topic.
 *
 * @module
 */

import { type Instant, readInstant } from "../organisations/keys/instant.ts";
import type {
  ReadOutcome,
  Store,
  StoredRecord,
  TopicPartition,
} from "../ports.ts";

/** Pause after a read that failed. */
const RETRY_MS = 250;

/** Running follower of a topic. */
export type TopicFollower = {
  /** Whether the newest records of all keys have been read. */
  isComplete(): boolean;
  /** Monotonic time of the last successful read. */
  readAtMs(): number;
  close(): void;
};

/** Options of {@linkcode followTopic}. */
export type FollowTopicOptions = {
  /** Longest time for which a read waits for a record; 0 returns at once. */
  waitMs: number;
  /** Pause between two reads in milliseconds. */
  pauseMs: number;
  /**
   * Receives records in order. With `isSnapshot`, these are the newest records
   * of all keys, and replace all that came before; otherwise they are changes.
   */
  onRecords(records: readonly StoredRecord[], isSnapshot: boolean): void;
  /**
   * Called after an answer with all that was stored when its request was sent,
   * and after its records were received.
   */
  onCurrent?(requestedAt: Instant): void;
  onFailure(reason: string): void;
};

/**
 * Reads the newest record of each key, then the changes in order. If the store
 * has dropped changes that were not read yet, it starts over with the newest
 * record of each key.
 *
 * @example
 * ```ts
 * const follower = followTopic(store, { topic: "op", partition: 0 }, options);
 * ```
 */
export function followTopic(
  store: Store,
  topicPartition: TopicPartition,
  options: FollowTopicOptions,
): TopicFollower {
  let isClosed = false;
  let isComplete = false;
  let readAtMs = -Infinity;
  let hasFailed = false;
  let nextOffset: number | undefined;

  const readSnapshot = async (): Promise<boolean> => {
    const requestedAt = readInstant();
    const outcome = await store.readNewest(topicPartition);
    if (outcome.type === "failed") {
      options.onFailure(outcome.reason);
      return false;
    }
    if (isClosed) return true;
    nextOffset = outcome.nextOffset;
    readAtMs = performance.now();
    options.onRecords(outcome.records, true);
    options.onCurrent?.(requestedAt);
    isComplete = true;
    return true;
  };

  const readChanges = async (offset: number): Promise<boolean> => {
    const requestedAt = readInstant();
    const outcome = await store.read(topicPartition, {
      from: offset,
      // After a failure, the answer shows at once that the store is back.
      waitMs: hasFailed ? 0 : options.waitMs,
    });
    if (outcome.type === "failed") {
      options.onFailure(outcome.reason);
      return false;
    }
    if (isClosed) return true;
    if (outcome.type === "gap") {
      nextOffset = undefined;
      return true;
    }
    nextOffset = Math.max(offset, outcome.nextOffset);
    readAtMs = performance.now();
    if (outcome.records.length > 0) options.onRecords(outcome.records, false);
    if (isWhole(outcome, offset)) options.onCurrent?.(requestedAt);
    return true;
  };

  const loop = async () => {
    while (!isClosed) {
      const isRead = nextOffset === undefined
        ? await readSnapshot()
        : await readChanges(nextOffset);
      hasFailed = !isRead;
      const pauseMs = isRead ? options.pauseMs : RETRY_MS;
      if (pauseMs > 0 && !isClosed) {
        await new Promise((resolve) => setTimeout(resolve, pauseMs));
      }
    }
  };
  void loop();

  return {
    isComplete: () => isComplete,
    readAtMs: () => readAtMs,
    close() {
      isClosed = true;
    },
  };
}

/**
 * Returns whether an answer has all records from an offset on. It may be cut
 * off, or come from a copy of the partition that ends before that offset.
 */
function isWhole(
  { records, nextOffset, end }: ReadOutcome & { type: "read" },
  offset: number,
): boolean {
  if (end === undefined) return records.length === 0;
  return end >= offset && nextOffset >= end;
}
