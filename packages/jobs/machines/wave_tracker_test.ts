import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import type { ProgressLog } from "../ended/progress_log.ts";
import type { UpkeepWave } from "../fleet.ts";
import { createWaveTracker, type WaveTracker } from "./wave_tracker.ts";

const WAVE: UpkeepWave = {
  wave: 1,
  machines: ["m1", "m2"],
  finishByS: 30,
  maxDown: 1,
};

describe("createWaveTracker", () => {
  /** Stored documents by key. */
  let stored: Map<string, string>;

  beforeEach(() => {
    jest.useFakeTimers();
    stored = new Map();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  function track(): WaveTracker {
    const progress = {
      put(key: string, encode: () => string | undefined) {
        stored.set(key, encode() ?? "");
      },
    } as ProgressLog;
    const tracker = createWaveTracker({
      progress,
      events: { log: () => undefined },
      announce: () => Promise.resolve(true),
    });
    for (const [key, value] of stored) tracker.restore(key, JSON.parse(value));
    tracker.update([WAVE]);
    return tracker;
  }

  function remainingMs(tracker: WaveTracker): number {
    return Math.round(tracker.active()[0]!.dueAtMs - performance.now());
  }

  // Guards against a wave that ends late, as each next owner of the machines
  // counts its time from its own start.
  test("keeps the deadline of a wave across owners", () => {
    track();
    jest.advanceTimersByTime(20_000);
    expect(remainingMs(track())).toBe(10_000);
  });

  // Guards against a deadline in the far future after the time of day was set
  // back on the next owner's machine.
  test("gives no wave more time than it had at first", () => {
    track();
    jest.setSystemTime(Date.now() - 60_000);
    expect(remainingMs(track())).toBe(30_000);
  });
});
