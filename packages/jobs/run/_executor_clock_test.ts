import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { advanceTime, createReport } from "../_fixtures.ts";
import { createExecutorState } from "../executor_state.ts";
import { longestLeaseMs } from "../owned/owner_state.ts";
import { extendLease, recordAnswer } from "./_executor_clock.ts";

const LEASE_MS = 4_000;

/** Rate of the slowest clock of an executor. */
const CLOCK_RATE = 0.98;

describe("extendLease", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against two runs of a task (TWICE): the next owner waits only for
  // the longest lease of an executor that it does not reach.
  test.each([0, 10_000, 60_000, 600_000])(
    "grants no lease that outlasts the next owner's wait, after %i ms",
    async (idleMs) => {
      const executor = createExecutorState(createReport("e1"));
      const clockAt = (ms: number) => 1_000_000 + CLOCK_RATE * ms;
      recordAnswer(executor, clockAt(performance.now()));
      await advanceTime(idleMs);
      const nowMs = performance.now();
      const expiryMs = extendLease(executor, LEASE_MS);
      const lastsMs = (expiryMs - clockAt(nowMs)) / CLOCK_RATE;
      expect(lastsMs).toBeLessThanOrEqual(longestLeaseMs(LEASE_MS));
      expect(nowMs + lastsMs).toBeLessThanOrEqual(executor.leaseEndsMs);
    },
  );
});
