import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createConfigurationRefresh } from "./configuration_refresh.ts";

describe("createConfigurationRefresh", () => {
  let ageMs: number;
  let readCount: number;
  let answerMs: number;

  beforeEach(() => {
    jest.useFakeTimers();
    ageMs = 2_000;
    readCount = 0;
    answerMs = 10;
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  const create = () =>
    createConfigurationRefresh({ ageMs: () => ageMs }, {
      read() {
        readCount++;
        return new Promise((resolve) => setTimeout(resolve, answerMs));
      },
    });

  // Guards against a flood of bad keys that costs a read of the store each.
  test("shares a read, and reads no more than twice a second", async () => {
    const refresh = create();
    const calls: Promise<boolean>[] = [];
    for (let index = 0; index < 1_000; index++) {
      calls.push(refresh());
      await jest.advanceTimersByTimeAsync(1);
    }
    await jest.advanceTimersByTimeAsync(answerMs);
    expect(readCount).toBe(2);
    const results = await Promise.all(calls);
    expect(results.filter((isRefreshed) => isRefreshed)).toHaveLength(20);
  });

  // Guards against reads in calm, when a regular read waits for changes.
  test("reads nothing while the configuration is current", async () => {
    ageMs = 900;
    expect(await create()()).toBe(false);
    expect(readCount).toBe(0);
  });

  // Guards against callers that wait for a store which does not answer.
  test("waits for a bounded time", async () => {
    answerMs = 60_000;
    const refresh = create();
    const startedAtMs = performance.now();
    const calls = [refresh(), refresh()].map((call) =>
      call.then(() => performance.now() - startedAtMs)
    );
    await jest.advanceTimersByTimeAsync(1_000);
    expect(await Promise.all(calls)).toEqual([300, 300]);
    expect(readCount).toBe(1);
  });
});
