import { expect, test } from "@jest/globals";
import { createCallTimes } from "./call_times.ts";

const RANGE = { leastMs: 400, mostMs: 2_000 };

// Guards against tries that all fail alike, as an answer takes longer.
test("doubles the time of a call without an answer, up to the bound", () => {
  const times = createCallTimes();
  const limits = Array.from({ length: 5 }, () => {
    const limitMs = times.next("report", RANGE);
    times.noteTimeout("report", limitMs);
    return limitMs;
  });
  expect(limits).toEqual([400, 800, 1_600, 2_000, 2_000]);
});

// Guards against many calls at once that count as many failures in a row.
test("doubles the time once for calls that fail together", () => {
  const times = createCallTimes();
  for (let call = 0; call < 10; call++) times.noteTimeout("show", 400);
  expect(times.next("show", RANGE)).toBe(800);
});

// Guards against long waits for a member that answers quickly again.
test("takes the time back as answers come quickly", () => {
  const times = createCallTimes();
  times.noteTimeout("report", 2_000);
  times.noteAnswer("report", 5);
  expect(times.next("report", RANGE)).toBe(400);
});

// Guards against a call that fails as its connection is verified before it.
test("gives a call three times what the last answer took", () => {
  const times = createCallTimes();
  times.noteAnswer("report", 500);
  expect(times.next("report", RANGE)).toBe(1_500);
});

// Guards against a call that goes on beyond its caller's deadline.
test("keeps to a bound below the least time, and to a fixed time", () => {
  const times = createCallTimes();
  times.noteTimeout("show", 800);
  expect(times.next("show", { leastMs: 800, mostMs: 150 })).toBe(150);
  expect(times.next("show", 300)).toBe(300);
});
