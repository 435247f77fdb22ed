import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type HeldUp, watchHeldUp } from "./watch_held_up.ts";

let nowMs: number;

beforeEach(() => {
  nowMs = 0;
  jest.useFakeTimers({ doNotFake: ["performance"] });
  jest.spyOn(performance, "now").mockImplementation(() => nowMs);
});

afterEach(() => {
  jest.restoreAllMocks();
  jest.useRealTimers();
});

/** Lets the next check come after a time. */
function checkAfter(ms: number): void {
  nowMs += ms;
  jest.advanceTimersByTime(200);
}

// Guards against a paused member that looks like one whose link is cut.
test("watchHeldUp reports only times in which the process did not run", () => {
  const reported: HeldUp[] = [];
  watchHeldUp((heldUp) => reported.push(heldUp));
  checkAfter(200);
  checkAfter(690);
  expect(reported).toEqual([]);
  checkAfter(2_200);
  checkAfter(200);
  expect(reported).toEqual([
    { heldUpMs: 2_000, usedCpuMs: expect.any(Number) },
  ]);
});
