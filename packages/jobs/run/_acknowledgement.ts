/**
 * Acknowledgement of ended runs to their executor.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { RunEnd } from "../ports.ts";

/** Shortest time between polls while received ends are not stored yet. */
const UNSTORED_PAUSE_MS = 250;

/** Shortest pause before a poll while received ends are not stored yet. */
const MIN_PAUSE_MS = 50;

/**
 * State of the ends that an executor has reported. It reports each of them
 * again until a poll acknowledges them by their numbers. The next process under
 * its id numbers its ends anew, and may carry out a poll that was meant for the
 * earlier one. So a poll acknowledges only ends that are known to be reported.
 */
export type Acknowledgement = {
  /** Returns whether all received ends are stored. */
  areEndsStored(): boolean;
  /** Returns whether the executor reports ends that are stored. */
  isDue(): boolean;
  /** Returns up to which number the next poll acknowledges ends; 0 for none. */
  sequence(): number;
  /** Returns the pause before the next poll while ends are not stored. */
  pauseMs(): number;
  /** Notes the ends in the newest list of the executor. */
  recordList(ended: readonly RunEnd[]): void;
  /** Notes a call without an answer: another process may answer the next. */
  recordFailure(): void;
  /** Waits until the received ends are stored, then calls back. */
  awaitStored(
    whenStored: (callback: () => void) => void,
    callback: () => void,
  ): void;
};

/** Creates the acknowledgement of an executor that has not listed its runs. */
export function createAcknowledgement(
  executor: ExecutorState,
): Acknowledgement {
  let receivedAtMs = 0;
  /** Lowest number of an end that the executor is known to report. */
  let lowestReported: number | undefined;

  const isDue = () =>
    lowestReported !== undefined &&
    lowestReported <= executor.acknowledgedSequence;

  return {
    areEndsStored: () =>
      executor.receivedSequence === executor.acknowledgedSequence,
    isDue,
    sequence: () => isDue() ? executor.acknowledgedSequence : 0,
    pauseMs() {
      const waitedMs = performance.now() - receivedAtMs;
      return Math.max(UNSTORED_PAUSE_MS - waitedMs, MIN_PAUSE_MS);
    },
    recordList(ended) {
      lowestReported = ended[0]?.sequence;
    },
    recordFailure() {
      lowestReported = undefined;
    },
    awaitStored(whenStored, callback) {
      const newest = executor.receivedSequence;
      receivedAtMs = performance.now();
      whenStored(() => {
        executor.acknowledgedSequence = Math.max(
          executor.acknowledgedSequence,
          newest,
        );
        callback();
      });
    },
  };
}
