/**
 * Tests of how fast the run time estimate follows samples and running requests.
 *
 * @module
 */

import { expect, test } from "@jest/globals";
import {
  addRunTime,
  createRunTimeEstimate,
  raiseByRunningAges,
} from "./run_time_estimate.ts";

const repeat = (count: number, runMs: number) =>
  new Array<number>(count).fill(runMs);

// Guards against an upper bound that adapts too slowly when declared run times
// are far off, and against one that a few outliers raise.
test.each<[string, number[], number[], "low" | "high"]>([
  ["5 long run times", repeat(5, 900), [], "high"],
  ["6 long running requests", [], repeat(6, 900), "high"],
  ["4 outliers", [...repeat(40, 40), ...repeat(4, 900)], [], "low"],
  ["1 long running request", repeat(40, 40), [900, ...repeat(9, 1)], "low"],
  [
    "long run times followed by 40 short ones",
    [...repeat(40, 900), ...repeat(40, 40)],
    [],
    "low",
  ],
])("estimates the upper bound after %s", (...row) => {
  const [, runs, ages, expected] = row;
  const estimate = createRunTimeEstimate(40);
  for (const runMs of runs) addRunTime(estimate, runMs);
  raiseByRunningAges(estimate, ages);
  expect(estimate.upperBoundMs < 100).toBe(expected === "low");
  expect(estimate.upperBoundMs >= 900).toBe(expected === "high");
});
