/**
 * Tells from the store's answers whether it can be reached.
 *
 * @module
 */

import type { AppendOutcome, Store, TopicPartition } from "../ports.ts";

/**
 * Time without an answer to any call after which the store counts as
 * unreachable. A member makes a call every 0.7 s at least, and the partitions
 * of the store may fail one by one.
 */
const MAX_SILENCE_MS = 1_300;

/** Failed appends in a row after which a partition counts as unreachable. */
const MAX_FAILED_APPENDS = 2;

/** Time until an append to an unreachable partition is tried again. */
const RETRY_MS = 500;

/** Store whose answers are observed. */
export type StoreMonitor = {
  /** The store; calls have to go through it to be observed. */
  store: Store;
  /** Whether no call of this member has had an answer for a while. */
  isUnreachable(): boolean;
  /**
   * Whether an append to a partition is worth a try. While its appends fail,
   * only one caller at a time finds out whether it is back; the others can be
   * refused at once.
   */
  mayAppend(partition: TopicPartition): boolean;
};

/** Appends to a partition that failed since the last success. */
type AppendFailures = { count: number; retryAtMs: number };

/**
 * Creates a monitor of a store. `otherAnswerAtMs` returns the monotonic time of
 * the last answer to calls that do not go through the monitor.
 *
 * @example
 * ```ts
 * const monitor = createStoreMonitor(store, platform.readAtMs);
 * if (monitor.isUnreachable()) refuse();
 * ```
 */
export function createStoreMonitor(
  store: Store,
  otherAnswerAtMs: () => number,
): StoreMonitor {
  let answeredAtMs = -Infinity;
  const failures = new Map<string, AppendFailures>();

  const observe = <Outcome>(outcome: Outcome, isAnswer: boolean): Outcome => {
    if (isAnswer) answeredAtMs = performance.now();
    return outcome;
  };

  const recordAppend = (partition: TopicPartition, outcome: AppendOutcome) => {
    const key = keyOf(partition);
    const hasFailed = outcome.type === "unknown" || outcome.type === "refused";
    if (!hasFailed) {
      failures.delete(key);
    } else {
      const count = (failures.get(key)?.count ?? 0) + 1;
      failures.set(key, { count, retryAtMs: performance.now() + RETRY_MS });
    }
    return observe(outcome, !hasFailed);
  };

  return {
    store: {
      async append(partition, options) {
        return recordAppend(partition, await store.append(partition, options));
      },
      async read(partition, options) {
        const outcome = await store.read(partition, options);
        return observe(outcome, outcome.type !== "failed");
      },
      async readNewest(partition) {
        const outcome = await store.readNewest(partition);
        return observe(outcome, outcome.type !== "failed");
      },
      async join(options) {
        const outcome = await store.join(options);
        return observe(outcome, outcome.type !== "failed");
      },
      leave: (options) => store.leave(options),
      async owners(group) {
        const owners = await store.owners(group);
        return observe(owners, owners !== undefined);
      },
    },
    isUnreachable() {
      const lastMs = Math.max(answeredAtMs, otherAnswerAtMs());
      return performance.now() - lastMs >= MAX_SILENCE_MS;
    },
    mayAppend(partition) {
      const failed = failures.get(keyOf(partition));
      if (failed === undefined || failed.count < MAX_FAILED_APPENDS) {
        return true;
      }
      const nowMs = performance.now();
      if (nowMs < failed.retryAtMs) return false;
      failed.retryAtMs = nowMs + RETRY_MS;
      return true;
    },
  };
}

function keyOf({ topic, partition }: TopicPartition): string {
  return `${topic}/${partition}`;
}
