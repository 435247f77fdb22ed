/**
 * Writer of the stream `answers`, from which repeats of orders are answered.
 *
 * @module
 */

import type { KeptAnswer } from "@lagoonloom/records";
import type { WireAnswer } from "./forwarded.ts";
import type { RequestPathDependencies } from "./dependencies.ts";

/** Largest answer that is stored for repeats of its order. */
export const MAX_KEPT_ANSWER_BYTES = 65_536;

/** Memory for answers that wait for an append. */
const MAX_QUEUED_BYTES = 8 * 1_048_576;

/** Most bytes of answers in one record. */
const MAX_BATCH_BYTES = 524_288;

/** Rate of appends to `answers` that all entry hosts share equally. */
const MAX_APPENDS_PER_S = 20;

/** Delay before a failed append is repeated. */
const RETRY_DELAY_MS = 500;

type QueuedAnswer = {
  answer: KeptAnswer;
  bytes: number;
  resolve: (offset: number | undefined) => void;
};

/**
 * Creates the writer of the stream `answers`, which holds the answers of
 * orders for callers that repeat them. It appends the answers in batches.
 */
export function createAnswerWriter(dependencies: RequestPathDependencies) {
  const { settings } = dependencies;
  let queue: QueuedAnswer[] = [];
  let queuedBytes = 0;
  let isAppending = false;
  let sequence = 0;
  let timer: NodeJS.Timeout | undefined;
  let lastAppendAtMs = -Infinity;
  return { write, close: () => clearTimeout(timer) };

  /**
   * Writes an answer; resolves with its offset, or with undefined if it is too
   * large or the queue is full.
   */
  function write(key: string, answer: WireAnswer): Promise<number | undefined> {
    const bytes = answer.body.length;
    if (
      bytes > MAX_KEPT_ANSWER_BYTES || queuedBytes + bytes > MAX_QUEUED_BYTES
    ) {
      return Promise.resolve(undefined);
    }
    queuedBytes += bytes;
    return new Promise((resolve) => {
      queue.push({ answer: toKeptAnswer(key, answer), bytes, resolve });
      scheduleAppend();
    });
  }

  function scheduleAppend(): void {
    if (isAppending || timer !== undefined || queue.length === 0) return;
    const intervalMs = dependencies.liveMembers() * 1_000 / MAX_APPENDS_PER_S;
    const dueInMs = lastAppendAtMs + intervalMs - dependencies.nowMs();
    timer = setTimeout(() => {
      timer = undefined;
      void appendBatch(takeBatch());
    }, Math.max(0, dueInMs));
    timer.unref();
  }

  function takeBatch(): QueuedAnswer[] {
    let bytes = 0;
    const end = queue.findIndex((entry) => {
      bytes += entry.bytes;
      return bytes > MAX_BATCH_BYTES;
    });
    const batch = end < 0 ? queue : queue.slice(0, end);
    queue = end < 0 ? [] : queue.slice(end);
    return batch;
  }

  /**
   * Appends a batch and repeats this until the log confirms the record. A
   * duplicate record is harmless.
   */
  async function appendBatch(batch: QueuedAnswer[]): Promise<void> {
    isAppending = true;
    sequence += 1;
    const id = `answers.${settings.member}.${settings.incarnation}.${sequence}`;
    const body = { answers: batch.map(({ answer }) => answer) };
    for (;;) {
      lastAppendAtMs = dependencies.nowMs();
      const outcome = await dependencies.append("answers", id, body)
        .catch(() => ({ type: "unknown" as const }));
      if (outcome.type === "appended") {
        for (const { bytes, resolve } of batch) {
          queuedBytes -= bytes;
          resolve(outcome.offset);
        }
        break;
      }
      await new Promise((resolve) =>
        setTimeout(resolve, RETRY_DELAY_MS).unref()
      );
    }
    isAppending = false;
    scheduleAppend();
  }
}

function toKeptAnswer(key: string, answer: WireAnswer): KeptAnswer {
  const headers: Record<string, string> = {};
  for (const { name, value } of answer.headers) headers[name] = value;
  const body = Buffer.from(answer.body).toString("base64");
  return { key, status: answer.status, headers, body };
}
