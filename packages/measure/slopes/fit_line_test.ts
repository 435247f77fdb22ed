import { describe, expect, test } from "@jest/globals";
import { fitLine } from "./fit_line.ts";

describe("fitLine", () => {
  // Guards against wrong slopes in docs/CAPACITY.md, which are fitted by it.
  test.each(
    [
      [[[1, 3], [2, 5], [4, 9]], { intercept: 1, slope: 2, r2: 1 }],
      [[[0, 2], [1, 2], [2, 2]], { intercept: 2, slope: 0, r2: 1 }],
    ] as const,
  )("fits a line to the points %j", (points, expected) => {
    const line = fitLine(points);
    expect(line.intercept).toBeCloseTo(expected.intercept);
    expect(line.slope).toBeCloseTo(expected.slope);
    expect(line.r2).toBeCloseTo(expected.r2);
  });
});
