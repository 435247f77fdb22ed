import { beforeEach, describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";

const TASK_COUNT = 4;

describe("moveStragglers", () => {
  let fixture: OwnerFixture;
  let executors: MemoryExecutor[];
  let owner: PartitionOwner;

  setUpOwners((created) => fixture = created);

  beforeEach(async () => {
    executors = ["e1", "e2", "e3"].map((id) => fixture.addExecutor(id));
    owner = await fixture.startOwner(1);
  });

  const taskName = (index: number) => `${JOB_ID}.0.0.${index}`;

  const executorOf = (name: string) =>
    executors.find(({ running }) => running.has(name))!;

  /** Sets the progress that executors report for each task. */
  const setProgress = (percentOf: (index: number) => number) => {
    for (const { progress } of executors) {
      for (let index = 0; index < TASK_COUNT; index++) {
        progress.set(taskName(index), percentOf(index));
      }
    }
  };

  const countStarts = () =>
    executors.reduce((sum, { starts }) => sum + starts.length, 0);

  // Guards against jobs that wait for a single task on a slow executor, as seen
  // with the fault srv_slow on both sites.
  test("moves a run that is far slower than the others of its step", async () => {
    setProgress(() => 0);
    fixture.accept(JOB_ID, [createStep({ count: TASK_COUNT })]);
    await advanceTime(50);
    const slow = executorOf(taskName(0));
    for (let step = 1; step <= 10; step++) {
      setProgress((index) => index === 0 ? step : 8 * step);
      await advanceTime(200);
    }
    expect(slow.running.has(taskName(0))).toBe(false);
    expect(executorOf(taskName(0))).toBeDefined();
    expect(countStarts()).toBe(TASK_COUNT + 1);
  });

  // Guards against jobs that never end because one run makes no progress, as
  // seen with the fault srv_grey hang.
  test("moves a run that makes no progress", async () => {
    setProgress(() => 0);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    const stalled = executorOf(taskName(0));
    setProgress(() => 40);
    await advanceTime(4_000);
    expect(stalled.running.has(taskName(0))).toBe(false);
    expect(executorOf(taskName(0))).toBeDefined();
  });

  // Guards against tasks that are restarted over and over because they take far
  // longer than their estimate.
  test("moves nothing if all tasks of a step are slow", async () => {
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

  test("moves a task at most twice", async () => {
    setProgress(() => 40);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(30_000);
    expect(countStarts()).toBe(3);
  });

  // Guards against stopping lasting tasks that are ready, whose progress stays
  // at 100 %.
  test("does not move lasting tasks that are ready", async () => {
    fixture.accept(JOB_ID, [createStep({ count: 2, isLasting: true })]);
    await advanceTime(10_000);
    expect(countStarts()).toBe(2);
  });

  // Guards against taking missing reports of an unreachable executor for runs
  // without progress.
  test("moves nothing from an unreachable executor", async () => {
    setProgress(() => 40);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    executorOf(taskName(0)).fault = "unreachable";
    await advanceTime(3_500);
    expect(countStarts()).toBe(1);
  });

  // Guards against two lasting tasks that are stopped for the one place that is
  // left (LOST).
  test("stops no more stalled tasks at once than have a place elsewhere", async () => {
    setProgress(() => 40);
    const size = { cpu: 10_000, memoryMb: 1, accelerators: 0 };
    fixture.accept(JOB_ID, [createStep({ count: 2, isLasting: true, size })]);
    const stops = () =>
      fixture.logged.filter((line) => line.startsWith("runStopping"));
    for (let waitedMs = 0; waitedMs < 5_000; waitedMs += 50) {
      if (stops().length > 0) break;
      await advanceTime(50);
    }
    expect(stops()).toHaveLength(1);
  });

  // Guards against executors that are suspended for as long as their runs are
  // slow, while a lasting task has no other place (LOST).
  test("lets a lasting task start beside slow runs", async () => {
    for (const id of ["e4", "e5", "e6"]) {
      executors.push(fixture.addExecutor(id));
    }
    owner.refresh();
    await advanceTime(50);
    const slow = ["e1", "e2"];
    const full = { cpu: 16_000, memoryMb: 500, accelerators: 0 };
    executors.filter(({ report: { id } }) => !slow.includes(id))
      .forEach(({ report: { id } }, index) =>
        fixture.accept(`00000000000000b${index}`, [
          createStep({
            count: 1,
            label: `rack-${id}`,
            size: full,
            isLasting: true,
          }),
        ])
      );
    for (const [index, id] of slow.entries()) {
      const job = `00000000000000c${index}`;
      for (const { progress } of executors) {
        progress.set(`${job}.0.0.0`, 40).set(`${job}.0.0.1`, 40);
      }
      fixture.accept(job, [createStep({ count: 2, label: `rack-${id}` })]);
    }
    await advanceTime(5_000);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(7_000);
    expect(executorOf(taskName(0))).toBeDefined();
  });
});
