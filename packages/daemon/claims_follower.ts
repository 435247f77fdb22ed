import {
  type PlatformClient,
  TAIL_PAGE_RECORDS,
  tailStream,
} from "@lagoonloom/platform";
import type { LogRecord } from "@lagoonloom/records";

/**
 * Longest wait of one read in milliseconds. No right to use slots depends on
 * this stream, so that it is read less often than the stream `control`.
 */
const WAIT_MS = 1_500;

/** Age in milliseconds up to which the folded claims count as recent. */
const FRESH_MS = 4_000;

/** Options of {@linkcode createClaimsFollower}. */
export type ClaimsFollowerOptions = {
  platform: PlatformClient;
  fold: (record: LogRecord) => void;
  signal: AbortSignal;
};

/** Follower of the stream `claims`. */
export type ClaimsFollower = {
  run(): Promise<void>;
  /** Whether the folded claims are recent enough to decide new ones. */
  isFresh(): boolean;
};

/**
 * Creates the follower of the stream `claims`. It starts with the oldest record
 * that the log holds.
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
        waitMs: WAIT_MS,
      }),
    isFresh: () => performance.now() - readAtMs < FRESH_MS,
  };
}
