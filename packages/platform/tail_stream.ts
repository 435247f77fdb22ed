import type { LogRecord, Stream } from "@lagoonloom/records";
import { backoffMs } from "./backoff.ts";
import type { PlatformClient } from "./platform_client.ts";
import type { LogPage } from "./read_outcome.ts";

/**
 * Longest wait of one read in milliseconds. A read counts as a contact with the
 * log from the time at which it was sent, so that two waits have to fit into
 * the fencing timeout of 2 s with room for the calls themselves.
 */
const WAIT_MS = 700;

/** Most records of one read; a full page may not be the end of the stream. */
export const TAIL_PAGE_RECORDS = 500;

/** Bounds of the delay after a failed read in milliseconds. */
const BACKOFF = { baseMs: 50, maxMs: 1_000 };

/** What a tail reports. */
export type TailHandlers = {
  /** Next offset to read; asked before each read. */
  nextOffset(): number;
  /** Records in offset order, possibly none; a contact with the log. */
  onRecords(records: readonly LogRecord[], page: LogPage): void;
  /** The log no longer holds the next offset; resolves when to go on. */
  onExpired(page: LogPage): Promise<void>;
  onUnreachable(reason: string): void;
};

/** Options of {@linkcode tailStream}. */
export type TailOptions = {
  stream: Stream;
  signal: AbortSignal;
  /** Longest wait of one read in milliseconds. */
  waitMs?: number;
  random?: () => number;
};

/**
 * Follows a stream until the signal aborts. Failed reads are retried after an
 * exponential delay with jitter.
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
  // At the start and after a failure the first answer is wanted at once.
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
      waitMs = options.waitMs ?? WAIT_MS;
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
