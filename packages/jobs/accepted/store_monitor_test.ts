import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import { advanceTime } from "../_fixtures.ts";
import { createStoreMonitor, type StoreMonitor } from "./store_monitor.ts";

const JOBS = { topic: "jobs", partition: 3 };
const OTHER_JOBS = { topic: "jobs", partition: 4 };
const APPEND = { records: [{ key: "a", value: "{}" }], timeoutMs: 700 };
const JOIN = {
  group: "owners",
  member: "a",
  topic: "jobs",
  ttlMs: 1_600,
  generation: 0,
};

describe("createStoreMonitor", () => {
  let store: MemoryStore;
  let monitor: StoreMonitor;
  /** Partition whose appends get no answer. */
  let silentPartition: number | undefined;

  beforeEach(() => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: 8 });
    silentPartition = undefined;
    const partlySilent = {
      ...store,
      append: (...call: Parameters<typeof store.append>) =>
        call[0].partition === silentPartition
          ? Promise.resolve({ type: "unknown" as const, reason: "no answer" })
          : store.append(...call),
    };
    // The configuration's partition never answers in these tests.
    monitor = createStoreMonitor(partlySilent, () => -Infinity);
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a fleet that refuses all jobs for as long as only the
  // partition of the configuration is down (1,381 refusals in five seconds on
  // scale-1 of the large site).
  test("counts as reachable while other calls have answers", async () => {
    for (let count = 0; count < 10; count++) {
      await monitor.store.join(JOIN);
      await advanceTime(1_000);
      expect(monitor.isUnreachable()).toBe(false);
    }
  });

  // Guards against callers that wait for a store that answers nothing.
  test("counts as unreachable once nothing has an answer", async () => {
    await monitor.store.join(JOIN);
    store.fault = "refusing";
    for (let count = 0; count < 4; count++) {
      await monitor.store.join(JOIN);
      await advanceTime(400);
    }
    expect(monitor.isUnreachable()).toBe(true);
    store.fault = undefined;
    await monitor.store.join(JOIN);
    expect(monitor.isUnreachable()).toBe(false);
  });

  // Guards against callers of one service that all wait for its partition to
  // answer, and against refusals for the others.
  test("lets one caller at a time try a partition that fails", async () => {
    silentPartition = JOBS.partition;
    expect(monitor.mayAppend(JOBS)).toBe(true);
    await monitor.store.append(JOBS, APPEND);
    expect(monitor.mayAppend(JOBS)).toBe(true);
    await monitor.store.append(JOBS, APPEND);
    expect(monitor.mayAppend(JOBS)).toBe(false);
    expect(monitor.mayAppend(OTHER_JOBS)).toBe(true);
    await advanceTime(600);
    expect(monitor.mayAppend(JOBS)).toBe(true);
    expect(monitor.mayAppend(JOBS)).toBe(false);
    silentPartition = undefined;
    await monitor.store.append(JOBS, APPEND);
    expect(monitor.mayAppend(JOBS)).toBe(true);
  });
});
