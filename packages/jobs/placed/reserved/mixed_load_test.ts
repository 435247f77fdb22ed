import { beforeAll, describe, expect, test } from "@jest/globals";
import {
  type JobSeries,
  percentile,
  type PlayedLoad,
  playLoad,
} from "./_mixed_load.ts";

/** Most of the capacity that may be unused because of reservations. */
const MAX_IDLE_SHARE = 0.01;

/** Small tasks that come one by one and take two thirds of the processors. */
const SMALL: JobSeries = {
  name: "small",
  everyMs: 40,
  tasks: 1,
  cpu: 3_000,
  durationMs: (number) => 400 + 40 * (number % 23),
  estimateMs: 840,
  objectiveMs: 6_000,
};

/** Tasks that take a whole executor each and are due before small ones. */
const LARGE: JobSeries = {
  name: "large",
  everyMs: 560,
  tasks: 1,
  cpu: 16_000,
  durationMs: (number) => 500 + 45 * (number % 19),
  estimateMs: 900,
  objectiveMs: 4_000,
};

/** Small tasks of a core, one of which is always on each executor. */
const TINY: JobSeries = {
  ...SMALL,
  everyMs: 20,
  cpu: 1_000,
  durationMs: (number) => 1_200 + 40 * (number % 23),
  estimateMs: 1_640,
};

/** Gangs that need most of four executors at once. */
const GANG: JobSeries = {
  ...LARGE,
  name: "gang",
  everyMs: 3_000,
  tasks: 4,
  cpu: 9_000,
  isGang: true,
};

type Plays = { without: PlayedLoad; reserved: PlayedLoad };

/** Plays a load for a minute on six executors of 16 cores, in both ways. */
function play(load: readonly JobSeries[]): Plays {
  const options = { lengthMs: 60_000, executorCount: 6 };
  return {
    without: playLoad(load, { ...options, reserves: false }),
    reserved: playLoad(load, { ...options, reserves: true }),
  };
}

/** Returns the wait below which 95 of 100 jobs of a series start. */
function waitOf({ waitsMs }: PlayedLoad, { name }: JobSeries): number {
  return percentile(waitsMs.get(name)!, 95);
}

/** Returns a series whose declared durations are off by a factor. */
function misdeclare(series: JobSeries, factor: number): JobSeries {
  return { ...series, estimateMs: factor * series.estimateMs };
}

describe.each([0.5, 1, 2])(
  "large tasks beside small ones, as estimates are off by %d",
  (factor) => {
    let plays: Plays;

    beforeAll(() => {
      plays = play([misdeclare(SMALL, factor), misdeclare(LARGE, factor)]);
    });

    // Guards against large tasks that wait as small ones take each gap.
    test("wait less than without reservations", () => {
      const { without, reserved } = plays;
      expect(waitOf(reserved, LARGE)).toBeLessThan(waitOf(without, LARGE));
    });

    // Guards against small tasks that are late for large ones.
    test("make no small task late", () => {
      const waitsMs = plays.reserved.waitsMs.get(SMALL.name)!;
      const longestMs = SMALL.durationMs(22);
      expect(Math.max(...waitsMs)).toBeLessThan(SMALL.objectiveMs - longestMs);
    });

    // Guards against room that is held empty by wrong estimates.
    test("leave no more of the processors unused", () => {
      const { without, reserved } = plays;
      expect(reserved.utilization)
        .toBeGreaterThan(without.utilization - MAX_IDLE_SHARE);
    });
  },
);

describe("tasks that never fit without reservations", () => {
  // Guards against large tasks that starve, as each gap is a small one.
  test("start in time beside tiny ones", () => {
    const large = { ...LARGE, everyMs: 3_000 };
    const { without, reserved } = play([TINY, large]);
    expect(without.unstarted.get(large.name)).toBeGreaterThan(15);
    const inTimeMs = large.objectiveMs - large.durationMs(18);
    expect(waitOf(reserved, large)).toBeLessThan(inTimeMs);
    // Those of the last seconds may still wait.
    expect(reserved.unstarted.get(large.name)).toBeLessThanOrEqual(1);
    expect(waitOf(reserved, TINY)).toBeLessThan(500);
  });

  // Guards against gangs that starve, as not all of their tasks fit at once.
  test("start in time as gangs", () => {
    const { without, reserved } = play([SMALL, GANG]);
    expect(without.unstarted.get(GANG.name)).toBeGreaterThan(15);
    expect(reserved.unstarted.get(GANG.name)).toBe(0);
    const inTimeMs = GANG.objectiveMs - GANG.durationMs(18);
    expect(waitOf(reserved, GANG)).toBeLessThan(inTimeMs);
  });

  // Guards against room that waits for runs which never end, and against
  // promises that are made again and again in vain.
  test("start beside runs that never end", () => {
    let count = 0;
    const durationMs = (number: number) =>
      count++ < 3 ? Infinity : TINY.durationMs(number);
    const large = { ...LARGE, everyMs: 3_000 };
    const options = { lengthMs: 60_000, executorCount: 6, reserves: true };
    const tiny = { ...TINY, cpu: 900, durationMs };
    const reserved = playLoad([tiny, large], options);
    expect(count).toBeGreaterThan(3);
    const inTimeMs = large.objectiveMs - large.durationMs(18);
    expect(waitOf(reserved, large)).toBeLessThan(inTimeMs);
    expect(reserved.unstarted.get(large.name)).toBeLessThanOrEqual(1);
    const countOf = (type: string) =>
      reserved.events.filter((event) => event.type === type).length;
    expect(countOf("missed")).toBeLessThan(countOf("kept"));
  });
});
