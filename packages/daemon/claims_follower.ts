/**
 * Follower of the stream `claims`, whose records deduplicate orders.
 *
 * @module
 */

import {
  type PlatformClient,
  TAIL_PAGE_RECORDS,
  tailStream,
} from "@lagoonloom/platform";
import type { LogRecord } from "@lagoonloom/records";

/**
 * Longest wait of one read for new records in milliseconds. It may be longer
 * than that for the stream `control`, since the right to use slots does not
 * depend on reads of this stream.
 */
const READ_WAIT_MS = 1_500;

/** Age in milliseconds up to which the folded claims count as recent. */
const MAX_FRESH_AGE_MS = 4_000;

/** Options of {@linkcode createClaimsFollower}. */
export type ClaimsFollowerOptions = {
  platform: PlatformClient;
  fold: (record: LogRecord) => void;
  signal: AbortSignal;
};

/** Follower of the stream `claims`. */
export type ClaimsFollower = {
  run(): Promise<void>;
  /** Returns whether the claims are recent enough to decide new ones. */
  isFresh(): boolean;
};

/**
 * Creates the follower of the stream `claims`, which folds its records from the
 * oldest one that the log holds.
 *
 * @example
 * ```ts
 * const claims = createClaimsFollower({ platform, fold, signal });
 * void claims.run();
 * ```
 */
export function createClaimsFollower(
  options: ClaimsFollowerOptions,
): ClaimsFollower {
  let nextOffset = 0;
  let requestedAtMs = 0;
  let readAtMs = -Infinity;
  const handlers = {
    nextOffset() {
      requestedAtMs = performance.now();
      return nextOffset;
    },
    onRecords(records: readonly LogRecord[]) {
      for (const record of records) {
        if (record.offset !== nextOffset) continue;
        options.fold(record);
        nextOffset = record.offset + 1;
      }
      if (records.length < TAIL_PAGE_RECORDS) readAtMs = requestedAtMs;
    },
    onExpired(page: { oldestOffset: number }) {
      nextOffset = page.oldestOffset;
      return Promise.resolve();
    },
    onUnreachable: () => undefined,
  };
  return {
    run: () =>
      tailStream(options.platform, handlers, {
        stream: "claims",
        signal: options.signal,
        waitMs: READ_WAIT_MS,
      }),
    isFresh: () => performance.now() - readAtMs < MAX_FRESH_AGE_MS,
  };
}
