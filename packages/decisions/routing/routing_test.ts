/**
 * Tests of executor choice, outlier ejection and probes.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  chooseHost,
  createExecutorHealth,
  ejectOutliers,
  type ExecutorHealth,
  FIRST_PROBE_DELAY_MS,
  type HostResult,
  isHostAvailable,
  MAX_PROBE_DELAY_MS,
  recordResult,
} from "./mod.ts";

const GOOD: HostResult = {
  result: "succeeded",
  runMs: 100,
  expectedRunMs: 100,
  nowMs: 0,
  isProbe: false,
};
const SLOW: HostResult = { ...GOOD, runMs: 900 };
const FAILING: HostResult = { ...GOOD, result: "failed" };
const FAILING_FAST: HostResult = { ...FAILING, runMs: 1 };
const ABANDONED: HostResult = { ...GOOD, result: "abandoned", runMs: 2_000 };

/** Returns the health of executors after 10 equal results each. */
function createPool(results: readonly HostResult[]): ExecutorHealth[] {
  return results.map((result) => {
    const health = createExecutorHealth();
    for (let count = 0; count < 10; count++) recordResult(health, result);
    return health;
  });
}

/** Returns a dot for each executor in use and an X for each other one. */
function listStates(pool: readonly ExecutorHealth[]): string {
  return pool.map((health) => health.state === "in-use" ? "." : "X").join("");
}

describe("ejectOutliers", () => {
  // Guards against executors that attract requests by failing fast, and against
  // ejections for a fault of the whole pool.
  test.each<
    { name: string; results: HostResult[]; out: string; size?: number }
  >([
    { name: "a slow one", results: [SLOW, GOOD, GOOD], out: "X.." },
    { name: "a failing one", results: [GOOD, FAILING, GOOD], out: ".X." },
    {
      name: "a fast failing one",
      results: [GOOD, GOOD, FAILING_FAST],
      out: "..X",
    },
    { name: "one that hangs", results: [ABANDONED, GOOD, GOOD], out: "X.." },
    { name: "none if all are slow", results: [SLOW, SLOW, SLOW], out: "..." },
    { name: "none if all fail", results: Array(3).fill(FAILING), out: "..." },
    { name: "none in a pool of two", results: [FAILING, GOOD], out: ".." },
    {
      name: "one in a pool of six",
      results: [FAILING, GOOD],
      out: "X.",
      size: 6,
    },
    {
      name: "at most a third of the pool",
      results: [FAILING, SLOW, ABANDONED, GOOD, GOOD, GOOD, GOOD],
      out: "XX.....",
    },
  ])("ejects $name", ({ results, out, size }) => {
    const pool = createPool(results);
    const options = size === undefined ? {} : { poolSize: size };
    ejectOutliers(pool, { nowMs: 0, ...options });
    expect(listStates(pool)).toBe(out);
  });

  // Guards against an ejection limit that holds only within one call.
  test("never ejects more than a third of a pool", () => {
    const result = fc.constantFrom(
      GOOD,
      SLOW,
      FAILING,
      FAILING_FAST,
      ABANDONED,
    );
    const steps = fc.array(fc.tuple(fc.nat(20), result), { maxLength: 200 });
    const run = fc.property(
      fc.integer({ min: 1, max: 9 }),
      steps,
      (size, all) => {
        const pool = Array.from({ length: size }, createExecutorHealth);
        for (const [index, result] of all) {
          recordResult(pool[index % size]!, result);
          ejectOutliers(pool, { nowMs: 0 });
          const out = pool.filter((health) => health.state !== "in-use").length;
          expect(out).toBeLessThanOrEqual(Math.floor(size / 3));
        }
      },
    );
    fc.assert(run, { seed: 3, numRuns: 100 });
  });
});

describe("recordResult", () => {
  // Guards against probes at a constant rate, and against a recovered executor
  // that stays ejected.
  test("doubles the delay after a failed probe and readmits after a good one", () => {
    const pool = createPool([FAILING, GOOD, GOOD]);
    ejectOutliers(pool, { nowMs: 0 });
    const health = pool[0]!;
    expect(isHostAvailable(health, FIRST_PROBE_DELAY_MS - 1)).toBe(false);
    const delays: number[] = [];
    for (let nowMs = health.probeAtMs; delays.length < 8;) {
      expect(isHostAvailable(health, nowMs)).toBe(true);
      health.state = "probing";
      expect(isHostAvailable(health, nowMs)).toBe(false);
      recordResult(health, { ...FAILING, nowMs, isProbe: true });
      delays.push(health.probeAtMs - nowMs);
      nowMs = health.probeAtMs;
    }
    expect(delays.slice(0, 3)).toEqual([2_000, 4_000, 8_000]);
    expect(delays.at(-1)).toBe(MAX_PROBE_DELAY_MS);
    health.state = "probing";
    recordResult(health, GOOD);
    expect(health.state).toBe("probing");
    recordResult(health, { ...GOOD, isProbe: true });
    expect(health).toMatchObject({ state: "in-use", samples: 0 });
  });
});

describe("chooseHost", () => {
  const healthy = createPool([GOOD])[0]!;
  const slow = createPool([{ ...GOOD, runMs: 250 }])[0]!;
  const failing = createPool([FAILING_FAST])[0]!;
  const ejected: ExecutorHealth = { ...failing, state: "ejected" };

  // Guards against a choice that ignores a part of the load or health.
  test.each([
    ["less outstanding work", [{ slotsInUse: 3 }, { slotsInUse: 1 }], "b"],
    [
      "a smaller part in use",
      [{ slotsInUse: 2, slots: 8 }, { slotsInUse: 1 }],
      "a",
    ],
    ["a lower run time", [{ health: slow }, {}], "b"],
    ["no failures", [{ health: failing }, { slotsInUse: 2 }], "b"],
    ["the due probe", [{ health: ejected, slotsInUse: 2 }, {}], "a"],
    ["the first of equals", [{}, {}], "a"],
  ])("prefers %s", (_, options, expected) => {
    const defaults = { health: healthy, slotsInUse: 0, slots: 3 };
    const candidates = options.map((option, index) => ({
      name: "ab"[index]!,
      ...defaults,
      ...option,
    }));
    expect(chooseHost(candidates)?.name).toBe(expected);
  });
});
