/**
 * Finds out that a connection carries nothing any more.
 *
 * @module
 */

/** Shortest time without an answer after which another connection is tried. */
const MIN_DELAY_MS = 500;

/** The same where answers take long, or none has come yet. */
const MAX_DELAY_MS = 1_200;

/** Multiple of the time of the last answer after which it is tried. */
const ANSWER_MARGIN = 3;

/** Time that an answer on the other connection may take. */
const CHECK_TIMEOUT_MS = 2_000;

/** Watch for a connection on which calls get no answer. */
export type SilenceCheck = {
  /** Notes that a call is sent. */
  noteCall(): void;
  /** Notes that a call was answered, and after how long. */
  noteAnswer(tookMs: number): void;
  close(): void;
};

/**
 * Watches the calls on a connection. If none is answered for a while, a call is
 * sent on another one. Only its answer shows that the first one is at fault,
 * and neither the member nor the way to it.
 *
 * @example
 * ```ts
 * const silence = createSilenceCheck({ tryAnother, replace });
 * silence.noteCall();
 * ```
 */
export function createSilenceCheck<Connection extends { retire(): void }>(
  { tryAnother, replace }: {
    /**
     * Calls the member on another connection and on the first one. Returns the
     * other one if only that is answered within the time.
     */
    tryAnother(timeoutMs: number): Promise<Connection | undefined>;
    /** Takes the other connection, as only that one is answered. */
    replace(connection: Connection): void;
  },
): SilenceCheck {
  let timer: NodeJS.Timeout | undefined;
  let isChecking = false;
  let isClosed = false;
  let answerCount = 0;
  let delayMs = MAX_DELAY_MS;

  const run = async () => {
    timer = undefined;
    isChecking = true;
    const countBefore = answerCount;
    const other = await tryAnother(CHECK_TIMEOUT_MS);
    isChecking = false;
    if (other === undefined) return;
    const isSilent = answerCount === countBefore;
    if (isSilent && !isClosed) replace(other);
    else other.retire();
  };

  return {
    noteCall() {
      if (timer !== undefined || isChecking || isClosed) return;
      timer = setTimeout(() => void run(), delayMs).unref();
    },
    noteAnswer(tookMs) {
      clearTimeout(timer);
      timer = undefined;
      answerCount++;
      const expectedMs = ANSWER_MARGIN * tookMs;
      delayMs = Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, expectedMs));
    },
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
