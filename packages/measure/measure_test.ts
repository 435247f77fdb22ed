import { describe, expect, test } from "@jest/globals";
import { createEventQueue, runUntil, schedule } from "./event_queue.ts";
import { formatJson, formatTable } from "./format_rows.ts";
import { createRandom, drawInterarrivalTime, drawLogNormal } from "./random.ts";

const ROW = {
  measure: "flood-own",
  deployment: "lakeshore",
  policy: "chosen",
  value: 0.98,
  unit: "ratio",
};

describe("formatJson and formatTable", () => {
  // Guards against a change of names or order, on which tools that read the
  // rows depend.
  test("prints the documented fields in order", () => {
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
  // Guards against calls out of order, which would change every simulated
  // result.
  test("runs calls by time and then in order of scheduling", () => {
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
  // Guards against a load whose mean differs from the documented one.
  test("have the stated means and repeat with the seed", () => {
    const draw = (seed: number) => {
      const random = createRandom(seed);
      let runMs = 0;
      let gapMs = 0;
      for (let count = 0; count < 20_000; count++) {
        runMs += drawLogNormal(random, { mean: 80, sigma: 0.5 }) / 20_000;
        gapMs += drawInterarrivalTime(random, 0.1) / 20_000;
      }
      return { runMs, gapMs };
    };
    const first = draw(7);
    expect(first.runMs).toBeCloseTo(80, -1);
    expect(first.gapMs).toBeCloseTo(10, 0);
    expect(draw(7)).toEqual(first);
  });

  // Guards against similar first numbers for all seeds, which would shift the
  // first arrival of every queue in the same way.
  test("differ between consecutive seeds from the first number on", () => {
    const seeds = Array.from({ length: 200 }, (_, index) => 1_000 + index);
    const numbers = seeds.map((seed) => createRandom(seed)());
    const mean = numbers.reduce((sum, value) => sum + value, 0) / 200;
    expect(Math.abs(mean - 0.5)).toBeLessThan(0.1);
    expect(Math.min(...numbers)).toBeLessThan(0.1);
    expect(Math.max(...numbers)).toBeGreaterThan(0.9);
  });
});
