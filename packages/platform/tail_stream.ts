/**
 * Follows a stream of the log with long polls.
 *
 * @module
 */

import type { LogRecord, Stream } from "@lagoonloom/records";
import { backoffMs } from "./backoff.ts";
import type { PlatformClient } from "./platform_client.ts";
import type { LogPage } from "./read_outcome.ts";

/**
 * Default duration of a long poll. A successful read proves contact with the
 * log only for the time at which it was sent, so two long polls and their round
 * trips have to fit into the fencing timeout of 2 s.
 */
const DEFAULT_WAIT_MS = 700;

/** Records per read; after a full page there may be more to read. */
export const TAIL_PAGE_RECORDS = 500;

/** Bounds of the delay after a failed read. */
const BACKOFF = { baseMs: 50, maxMs: 1_000 };

/** Callbacks of {@linkcode tailStream}. */
export type TailHandlers = {
  /** Returns the next offset to read; called before each read. */
  nextOffset(): number;
  /** Called after each successful read with its records, possibly none. */
  onRecords(records: readonly LogRecord[], page: LogPage): void;
  /**
   * Called if the log no longer holds the next offset. Reading continues once
   * the promise is resolved and a delay is over.
   */
  onExpired(page: LogPage): Promise<void>;
  /** Called after a failed read. */
  onUnreachable(reason: string): void;
};

/** Options of {@linkcode tailStream}. */
export type TailOptions = {
  stream: Stream;
  signal: AbortSignal;
  /** Duration of a long poll in milliseconds. */
  waitMs?: number;
  /** Source of the jitter; `Math.random` by default. */
  random?: () => number;
};

/**
 * Follows a stream until the signal aborts. After a failed read it waits with
 * exponential backoff and jitter.
 *
 * @example
 * ```ts
 * await tailStream(platform, handlers, { stream: "control", signal });
 * ```
 */
export async function tailStream(
  platform: PlatformClient,
  handlers: TailHandlers,
  options: TailOptions,
): Promise<void> {
  const { signal, stream } = options;
  const random = options.random ?? Math.random;
  let failures = 0;
  // The first read, also after a failure, returns at once.
  let waitMs = 0;
  while (!signal.aborted) {
    const outcome = await platform.read({
      stream,
      from: handlers.nextOffset(),
      limit: TAIL_PAGE_RECORDS,
      waitMs,
    }, signal);
    if (signal.aborted) return;
    if (outcome.type === "read") {
      failures = 0;
      waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
      handlers.onRecords(outcome.page.records, outcome.page);
      continue;
    }
    failures++;
    waitMs = 0;
    if (outcome.type === "expired") await handlers.onExpired(outcome.page);
    else handlers.onUnreachable(outcome.reason);
    await sleep(backoffMs(failures, { ...BACKOFF, random }), signal);
  }
}

/** Waits for a delay or until the signal aborts. */
function sleep(delayMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    const timer = setTimeout(finish, delayMs);
    signal.addEventListener("abort", finish, { once: true });
    function finish() {
      clearTimeout(timer);
      signal.removeEventListener("abort", finish);
      resolve();
    }
  });
}
