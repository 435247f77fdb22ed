/**
 * Finds out that a connection carries nothing any more.
 *
 * @module
 */

/** Time without an answer after which the member is checked. */
const CHECK_DELAY_MS = 800;

/**
 * Time in which the member has to answer a check. Where answers take longer, no
 * connection lasts.
 */
const CHECK_TIMEOUT_MS = 1_200;

/** Watch for a member that answers no calls. */
export type SilenceCheck = {
  /** Notes that a call is sent. */
  noteCall(): void;
  /** Notes that a call was answered. */
  noteAnswer(): void;
  close(): void;
};

/**
 * Watches the calls to a member. If none is answered for a while, the member
 * is sent a call of its own that has more time than theirs.
 *
 * @example
 * ```ts
 * const silence = createSilenceCheck({ check, onSilent });
 * silence.noteCall();
 * ```
 */
export function createSilenceCheck({ check, onSilent }: {
  /** Calls the member; returns whether it has let the time pass. */
  check(timeoutMs: number): Promise<boolean>;
  /** Called if the member has answered no call during the check. */
  onSilent(): void;
}): SilenceCheck {
  let timer: NodeJS.Timeout | undefined;
  let isChecking = false;
  let isClosed = false;
  let answerCount = 0;

  const run = async () => {
    timer = undefined;
    isChecking = true;
    const countBefore = answerCount;
    const hasTimedOut = await check(CHECK_TIMEOUT_MS);
    isChecking = false;
    const isSilent = hasTimedOut && answerCount === countBefore;
    if (isSilent && !isClosed) onSilent();
  };

  return {
    noteCall() {
      if (timer !== undefined || isChecking || isClosed) return;
      timer = setTimeout(() => void run(), CHECK_DELAY_MS).unref();
    },
    noteAnswer() {
      clearTimeout(timer);
      timer = undefined;
      answerCount++;
    },
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
