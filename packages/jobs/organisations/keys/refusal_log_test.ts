import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { createRefusalLog } from "./refusal_log.ts";

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

// Guards against a flood of calls with bad keys that floods the log.
test("createRefusalLog logs calls together, and all of them", () => {
  const logged: { name: string; calls: number }[] = [];
  const refusals = createRefusalLog({
    log: (name, fields) =>
      logged.push({ name, calls: (fields as { calls: number }).calls }),
  }, { ageMs: () => 4_950.2 });
  refusals.count("quotes", "outdated");
  for (let index = 0; index < 3_000; index++) {
    refusals.count("quotes", "unknownKey");
    jest.advanceTimersByTime(1);
  }
  jest.advanceTimersByTime(5_000);
  const rejected = logged.filter(({ name }) => name === "keysRejected");
  expect(rejected.length).toBeLessThan(6);
  expect(rejected.reduce((sum, { calls }) => sum + calls, 0)).toBe(3_000);
  expect(logged[0]).toEqual({ name: "callsOutdated", calls: 1 });
});
