import { describe, expect, test } from "@jest/globals";
import { createReport } from "../_fixtures.ts";
import { createExecutorState } from "../executor_state.ts";
import type { RunEnd } from "../ports.ts";
import { createAcknowledgement } from "./_acknowledgement.ts";

/** Creates the end of a run with a number. */
function createEnd(sequence: number): RunEnd {
  return { sequence, task: "a.0.0.0", run: 1, result: "done", checkpoint: "" };
}

describe("createAcknowledgement", () => {
  /** Creates the acknowledgement of an executor that has reported one end. */
  function createReported() {
    const executor = createExecutorState(createReport("e1"));
    const acknowledgement = createAcknowledgement(executor);
    executor.receivedSequence = 1;
    acknowledgement.recordList([createEnd(1)]);
    return { executor, acknowledgement };
  }

  // Guards against ends that an executor forgets before they are stored (LOST).
  test("acknowledges an end once it is stored", () => {
    const { executor, acknowledgement } = createReported();
    const callbacks: (() => void)[] = [];
    acknowledgement.awaitStored((it) => callbacks.push(it), () => undefined);
    expect(acknowledgement.sequence()).toBe(0);
    for (const callback of callbacks) callback();
    expect(executor.acknowledgedSequence).toBe(1);
    expect(acknowledgement.sequence()).toBe(1);
  });

  // Guards against ends that the next process of an executor forgets, as a poll
  // after a lost call names a number of the earlier process (TWICE).
  test("acknowledges nothing between a lost call and the next list", () => {
    const { executor, acknowledgement } = createReported();
    executor.acknowledgedSequence = 1;
    acknowledgement.recordFailure();
    expect(acknowledgement.sequence()).toBe(0);
    acknowledgement.recordList([createEnd(1)]);
    expect(acknowledgement.sequence()).toBe(1);
  });

  // Guards against the same where no call was lost (TWICE).
  test("acknowledges nothing that the newest list does not show", () => {
    const { executor, acknowledgement } = createReported();
    executor.acknowledgedSequence = 1;
    acknowledgement.recordList([]);
    expect(acknowledgement.sequence()).toBe(0);
  });
});
