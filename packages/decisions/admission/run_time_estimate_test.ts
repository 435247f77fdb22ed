import { expect, test } from "@jest/globals";
import {
  addRunTime,
  createRunTimeEstimate,
  raiseByRunningAges,
} from "./run_time_estimate.ts";

const repeat = (count: number, runMs: number) =>
  new Array<number>(count).fill(runMs);

// Guards against an estimate that follows too slowly when declared run times
// are far off, and against one that a few outliers move.
test.each<[string, number[], number[], "low" | "high"]>([
  ["some long runs", repeat(5, 900), [], "high"],
  ["long requests that still run", [], repeat(6, 900), "high"],
  ["few long runs", [...repeat(40, 40), ...repeat(4, 900)], [], "low"],
  ["few long requests that run", repeat(40, 40), [900, ...repeat(9, 1)], "low"],
  [
    "long runs that are over",
    [...repeat(40, 900), ...repeat(40, 40)],
    [],
    "low",
  ],
])("estimates from %s", (...row) => {
  const [, runs, ages, expected] = row;
  const estimate = createRunTimeEstimate(40);
  for (const runMs of runs) addRunTime(estimate, runMs);
  raiseByRunningAges(estimate, ages);
  expect(estimate.upperBoundMs < 100).toBe(expected === "low");
  expect(estimate.upperBoundMs >= 900).toBe(expected === "high");
});
