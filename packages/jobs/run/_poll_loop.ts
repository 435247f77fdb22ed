/**
 * Loop of the polls of one executor.
 *
 * @module
 */

import { createWakeablePause } from "./_wakeable_pause.ts";

/** Pause after a poll without an answer. */
const RETRY_MS = 300;

/** Options of {@linkcode createPollLoop}. */
export type PollLoopOptions = {
  /** Polls the executor, which may wait for the next end of a run. */
  pollOnce(maxWaitMs: number): Promise<void>;
  isOver(): boolean;
  /** Whether there is nothing to poll for unless a poll is requested. */
  isIdle(): boolean;
  /** Returns the pause before the next poll that was not requested. */
  pauseMs(): number;
  /** Returns the longest time for which such a poll waits. */
  longestWaitMs(): number;
  /** Whether the last call got no answer. */
  hasFailed(): boolean;
};

/** Loop of the polls of one executor. */
export type PollLoop = {
  start(): void;
  /** Polls at once, even while a long poll is waiting for the next end. */
  request(): void;
  /** Ends the present pause. */
  wake(): void;
  /** Whether the loop waits for the answer to a poll. */
  isOpen(): boolean;
};

/** Creates a loop that polls an executor once it is started. */
export function createPollLoop(options: PollLoopOptions): PollLoop {
  const { pollOnce, isOver } = options;
  /** Pauses the loop, the only caller. */
  const { pause, wake } = createWakeablePause();
  let isRequested = true;
  let isOpen = false;
  let isExtraOpen = false;

  const loop = async (): Promise<void> => {
    while (!isOver()) {
      if (options.isIdle() && !isRequested) {
        await pause();
        continue;
      }
      const pauseMs = isRequested ? 0 : options.pauseMs();
      if (pauseMs > 0) await pause(pauseMs);
      if (isOver()) return;
      const maxWaitMs = isRequested ? 0 : options.longestWaitMs();
      isRequested = false;
      isOpen = true;
      await pollOnce(maxWaitMs);
      isOpen = false;
      if (options.hasFailed()) await pause(RETRY_MS);
    }
  };

  return {
    start: () => void loop(),
    request() {
      if (isOver()) return;
      if (isOpen && !isExtraOpen) {
        isExtraOpen = true;
        void pollOnce(0).finally(() => {
          isExtraOpen = false;
          // The loop may have found nothing to do before this answer.
          wake();
        });
        return;
      }
      isRequested = true;
      wake();
    },
    wake,
    isOpen: () => isOpen,
  };
}
