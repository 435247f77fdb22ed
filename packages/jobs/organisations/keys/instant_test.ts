import { expect, test } from "@jest/globals";
import { createInstantReader, elapsedMs } from "./instant.ts";

/** Creates a reader of clocks that the test sets. */
function createClocks() {
  const clocks = { monotonicMs: 0, unixMs: 0, bootMs: 0 };
  const readInstant = createInstantReader({
    read: () => ({ monotonicMs: clocks.monotonicMs, unixMs: clocks.unixMs }),
    readBootMs: () => clocks.bootMs,
  });
  return { clocks, readInstant };
}

// Guards against an age that leaves out a suspension or a changed time of day.
test.each([
  { what: "ordinary time", monotonicMs: 50, unixMs: 50, bootMs: 50 },
  { what: "a clock set back", monotonicMs: 50, unixMs: -9_000, bootMs: 50 },
  { what: "a suspension", monotonicMs: 0, unixMs: 50, bootMs: 50 },
  {
    what: "a clock set back in a suspension",
    monotonicMs: 1,
    unixMs: -9_000,
    bootMs: 50,
  },
  { what: "no boot clock", monotonicMs: 0, unixMs: 50, bootMs: 0 },
])("an instant counts $what", ({ monotonicMs, unixMs, bootMs }) => {
  const { clocks, readInstant } = createClocks();
  const from = readInstant();
  Object.assign(clocks, { monotonicMs, unixMs, bootMs });
  expect(elapsedMs(from, readInstant())).toBe(50);
});

// Guards against a read of a file for each call.
test("an instant rarely reads the boot clock", () => {
  let readCount = 0;
  let nowMs = 0;
  const readInstant = createInstantReader({
    read: () => ({ monotonicMs: nowMs, unixMs: nowMs }),
    readBootMs: () => ++readCount && nowMs,
  });
  for (; nowMs < 1_000; nowMs++) readInstant();
  expect(readCount).toBe(10);
});
