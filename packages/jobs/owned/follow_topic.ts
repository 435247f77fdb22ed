import type { Store, StoredRecord, TopicPartition } from "../ports.ts";

/** Pause after a read that failed. */
const RETRY_MS = 250;

/** Follower of a topic that keeps the newest record of each key. */
export type TopicFollower = {
  /** Whether the whole topic has been read once. */
  isComplete(): boolean;
  /** Steady time of the last answer in milliseconds. */
  readAtMs(): number;
  /** Reads without an answer since the last one that had one. */
  failedReads(): number;
  close(): void;
};

/** Options of {@linkcode followTopic}. */
export type FollowTopicOptions = {
  /** Longest wait of a read for a record; 0 polls instead. */
  waitMs: number;
  /** Pause between two reads. */
  pauseMs: number;
  /** Receives the newest records first, then each change in order. */
  onRecords(records: readonly StoredRecord[], isWhole: boolean): void;
  onFailure(reason: string): void;
};

/**
 * Reads the newest record of each key, then follows the changes. After lost
 * records it reads the newest ones again.
 *
 * @example
 * ```ts
 * const follower = followTopic(store, place, { waitMs: 700, ...options });
 * ```
 */
export function followTopic(
  store: Store,
  place: TopicPartition,
  options: FollowTopicOptions,
): TopicFollower {
  let isClosed = false;
  let isComplete = false;
  let readAtMs = -Infinity;
  let failedReads = 0;
  let from: number | undefined;

  const readWhole = async (): Promise<boolean> => {
    const outcome = await store.readNewest(place);
    if (outcome.type === "failed") {
      options.onFailure(outcome.reason);
      return false;
    }
    if (isClosed) return true;
    from = outcome.nextOffset;
    readAtMs = performance.now();
    options.onRecords(outcome.records, true);
    isComplete = true;
    return true;
  };

  const readOn = async (at: number): Promise<boolean> => {
    const outcome = await store.read(place, {
      from: at,
      waitMs: options.waitMs,
    });
    if (outcome.type === "failed") {
      options.onFailure(outcome.reason);
      return false;
    }
    if (isClosed) return true;
    if (outcome.type === "gap") {
      from = undefined;
      return true;
    }
    from = Math.max(at, outcome.nextOffset);
    readAtMs = performance.now();
    if (outcome.records.length > 0) options.onRecords(outcome.records, false);
    return true;
  };

  const loop = async () => {
    while (!isClosed) {
      const isRead = from === undefined
        ? await readWhole()
        : await readOn(from);
      failedReads = isRead ? 0 : failedReads + 1;
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
    failedReads: () => failedReads,
    close() {
      isClosed = true;
    },
  };
}
