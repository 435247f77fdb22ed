import { describe, expect, test } from "@jest/globals";
import { createEventQueue, runUntil, schedule } from "./event_queue.ts";
import { formatJson, formatTable } from "./format_rows.ts";
import { createRandom, drawGap, drawLogNormal } from "./random.ts";

const ROW = {
  measure: "flood-own",
  deployment: "lakeshore",
  policy: "chosen",
  value: 0.98,
  unit: "ratio",
};

describe("format of rows", () => {
  // Guards against output that tools which read the rows do not expect.
  test("prints the fields of the design in order", () => {
    expect(formatJson(ROW)).toBe(
      `{"measure":"flood-own","deployment":"lakeshore",` +
        `"policy":"chosen","value":0.98,"unit":"ratio"}`,
    );
    expect(formatTable([ROW]).split("\n")).toEqual([
      "measure    deployment  policy  value  unit",
      "flood-own  lakeshore   chosen  0.98   ratio",
    ]);
  });
});

describe("EventQueue", () => {
  // Guards against calls out of order, which would change every result.
  test("calls in order of time, then of scheduling", () => {
    const events = createEventQueue();
    const calls: string[] = [];
    const random = createRandom(1);
    const times = Array.from({ length: 200 }, () => Math.floor(random() * 50));
    times.forEach((atMs, index) => {
      schedule(events, atMs, () => calls.push(`${atMs}/${index}`));
    });
    runUntil(events, 49);
    const expected = times.map((atMs, index) => ({ atMs, index }))
      .sort((a, b) => a.atMs - b.atMs || a.index - b.index)
      .map(({ atMs, index }) => `${atMs}/${index}`);
    expect(calls).toEqual(expected);
  });
});

describe("random draws", () => {
  // Guards against a load other than the one that is stated.
  test("have the stated means and repeat with the seed", () => {
    const draw = (seed: number) => {
      const random = createRandom(seed);
      let runMs = 0;
      let gapMs = 0;
      for (let count = 0; count < 20_000; count++) {
        runMs += drawLogNormal(random, { mean: 80, sigma: 0.5 }) / 20_000;
        gapMs += drawGap(random, 0.1) / 20_000;
      }
      return { runMs, gapMs };
    };
    const first = draw(7);
    expect(first.runMs).toBeCloseTo(80, -1);
    expect(first.gapMs).toBeCloseTo(10, 0);
    expect(draw(7)).toEqual(first);
  });

  // Guards against seeds whose first numbers are alike, which shifted the first
  // arrival of every queue.
  test("differ between neighbouring seeds from the first number", () => {
    const seeds = Array.from({ length: 200 }, (_, index) => 1_000 + index);
    const numbers = seeds.map((seed) => createRandom(seed)());
    const mean = numbers.reduce((sum, value) => sum + value, 0) / 200;
    expect(Math.abs(mean - 0.5)).toBeLessThan(0.1);
    expect(Math.min(...numbers)).toBeLessThan(0.1);
    expect(Math.max(...numbers)).toBeGreaterThan(0.9);
  });
});
