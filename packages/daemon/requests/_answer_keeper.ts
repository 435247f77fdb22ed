import type { KeptAnswer } from "@lagoonloom/records";
import type { WireAnswer } from "./forwarded.ts";
import type { RequestPathDependencies } from "./dependencies.ts";

/** Larger answers are not kept for repeats. */
export const MAX_KEPT_BYTES = 65_536;

/** Memory for answers that wait for the log. */
const MAX_WAITING_BYTES = 8 * 1_048_576;

/** Bytes of answers in one record. */
const MAX_RECORD_BYTES = 524_288;

/** Appends of answers per second of all entry hosts together. */
const MAX_APPENDS_PER_S = 20;

/** Time before an append is repeated. */
const RETRY_MS = 500;

type Waiting = {
  answer: KeptAnswer;
  bytes: number;
  resolve: (offset: number | undefined) => void;
};

/** Creates the writer of the stream `answers`. */
export function createAnswerKeeper(dependencies: RequestPathDependencies) {
  const { settings } = dependencies;
  let waiting: Waiting[] = [];
  let waitingBytes = 0;
  let isAppending = false;
  let sequence = 0;
  let timer: NodeJS.Timeout | undefined;
  let lastAppendAtMs = -Infinity;
  return { keep, close: () => clearTimeout(timer) };

  /** Resolves with the offset, or undefined if the answer is not kept. */
  function keep(key: string, answer: WireAnswer): Promise<number | undefined> {
    const bytes = answer.body.length;
    if (bytes > MAX_KEPT_BYTES || waitingBytes + bytes > MAX_WAITING_BYTES) {
      return Promise.resolve(undefined);
    }
    waitingBytes += bytes;
    return new Promise((resolve) => {
      waiting.push({ answer: toKeptAnswer(key, answer), bytes, resolve });
      schedule();
    });
  }

  function schedule(): void {
    if (isAppending || timer !== undefined || waiting.length === 0) return;
    const spacingMs = dependencies.liveMembers() * 1_000 / MAX_APPENDS_PER_S;
    const dueInMs = lastAppendAtMs + spacingMs - dependencies.nowMs();
    timer = setTimeout(() => {
      timer = undefined;
      void appendBatch(takeBatch());
    }, Math.max(0, dueInMs));
    timer.unref();
  }

  function takeBatch(): Waiting[] {
    let bytes = 0;
    const end = waiting.findIndex((entry) => {
      bytes += entry.bytes;
      return bytes > MAX_RECORD_BYTES;
    });
    const batch = end < 0 ? waiting : waiting.slice(0, end);
    waiting = end < 0 ? [] : waiting.slice(end);
    return batch;
  }

  /** Appends until the log has the record; a second copy is harmless. */
  async function appendBatch(batch: Waiting[]): Promise<void> {
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
          waitingBytes -= bytes;
          resolve(outcome.offset);
        }
        break;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS).unref());
    }
    isAppending = false;
    schedule();
  }
}

function toKeptAnswer(key: string, answer: WireAnswer): KeptAnswer {
  const headers: Record<string, string> = {};
  for (const { name, value } of answer.headers) headers[name] = value;
  const body = Buffer.from(answer.body).toString("base64");
  return { key, status: answer.status, headers, body };
}
