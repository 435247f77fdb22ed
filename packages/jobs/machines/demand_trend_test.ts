import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createDemandTrend } from "./demand_trend.ts";
import type { ServiceDemand } from "./partition_report.ts";

function demandOf(waitingCpu: number): ReadonlyMap<string, ServiceDemand> {
  return new Map([["quoting", {
    service: "quoting",
    lastingCpu: 1_000,
    runningCpu: 2_000,
    waitingCpu,
    waitedMs: 0,
    leastExecutors: 0,
  }]]);
}

describe("createDemandTrend()", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  // Guards against machines for demand that does not grow, or for a step
  // between two reports, as after a takeover.
  test("measures the growth over the last second", () => {
    const trend = createDemandTrend();
    const report = (waitingCpu: number) => {
      trend.add(demandOf(waitingCpu));
      const growth = trend.growthOf("quoting");
      jest.advanceTimersByTime(250);
      return growth;
    };
    expect(report(0)).toBe(0);
    expect(report(9_000)).toBe(0);
    expect([20_000, 30_000, 40_000].map(report))
      .toEqual([40_000, 40_000, 40_000]);
    expect([40_000, 40_000, 40_000, 40_000].map(report))
      .toEqual([31_000, 20_000, 10_000, 0]);
    expect(report(10_000)).toBe(0);
    expect(trend.growthOf("orders")).toBe(0);
  });

  // Guards against growth since a report that lies far back.
  test("forgets a service that is not reported", () => {
    const trend = createDemandTrend();
    trend.add(demandOf(0));
    jest.advanceTimersByTime(500);
    trend.add(new Map());
    trend.add(demandOf(90_000));
    expect(trend.growthOf("quoting")).toBe(0);
  });
});
