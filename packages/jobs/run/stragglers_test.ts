import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createOwnerFixture,
  createStep,
  JOB_ID,
  type OwnerFixture,
} from "../_fixtures.ts";

const TASK_COUNT = 4;

describe("moveStragglers", () => {
  let fixture: OwnerFixture;
  let executors: MemoryExecutor[];

  beforeEach(async () => {
    jest.useFakeTimers();
    fixture = createOwnerFixture();
    executors = ["e1", "e2", "e3"].map((id) => fixture.addExecutor(id));
    await fixture.startOwner(1);
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });

  const task = (index: number) => `${JOB_ID}.0.0.${index}`;

  const executorOf = (name: string) =>
    executors.find(({ running }) => running.has(name))!;

  /** Reports the progress of all tasks, which differs by task. */
  const setProgress = (percentOf: (index: number) => number) => {
    for (const { progress } of executors) {
      for (let index = 0; index < TASK_COUNT; index++) {
        progress.set(task(index), percentOf(index));
      }
    }
  };

  const countStarts = () =>
    executors.reduce((sum, { starts }) => sum + starts.length, 0);

  // Guards against jobs that wait for the one task on a slow executor (srv_slow
  // on both sites).
  test("moves a task that takes far longer than the others", async () => {
    setProgress(() => 0);
    fixture.accept(JOB_ID, [createStep({ count: TASK_COUNT })]);
    await advanceTime(50);
    const slow = executorOf(task(0));
    for (let step = 1; step <= 10; step++) {
      setProgress((index) => index === 0 ? step : 8 * step);
      await advanceTime(200);
    }
    expect(slow.running.has(task(0))).toBe(false);
    expect(executorOf(task(0))).toBeDefined();
    expect(countStarts()).toBe(TASK_COUNT + 1);
  });

  // Guards against jobs that wait for a task that stands still until the end of
  // the day (srv_grey hang).
  test("moves a task that stands still", async () => {
    setProgress(() => 0);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    const still = executorOf(task(0));
    setProgress(() => 40);
    await advanceTime(4_000);
    expect(still.running.has(task(0))).toBe(false);
    expect(executorOf(task(0))).toBeDefined();
  });

  // Guards against jobs of long tasks that are started again and again.
  test("leaves steps alone whose tasks all take long", async () => {
    setProgress(() => 0);
    fixture.accept(JOB_ID, [
      createStep({ count: TASK_COUNT, estimateMs: 100 }),
    ]);
    await advanceTime(50);
    for (let step = 1; step <= 20; step++) {
      setProgress((index) => step + index);
      await advanceTime(500);
    }
    expect(countStarts()).toBe(TASK_COUNT);
  });

  test("moves a task twice at the most", async () => {
    setProgress(() => 40);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(30_000);
    expect(countStarts()).toBe(3);
  });

  // Guards against lasting tasks that are taken away while they are at work.
  test("leaves lasting tasks alone that are at work", async () => {
    fixture.accept(JOB_ID, [createStep({ count: 2, isLasting: true })]);
    await advanceTime(10_000);
    expect(countStarts()).toBe(2);
  });

  // Guards against progress that a silent executor is blamed for.
  test("moves nothing from an executor that does not answer", async () => {
    setProgress(() => 40);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    executorOf(task(0)).fault = "cut";
    await advanceTime(3_500);
    expect(countStarts()).toBe(1);
  });
});
