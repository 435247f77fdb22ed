import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import { EXECUTOR_STARTS_KEY } from "../topics.ts";

describe("used executors", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /**
   * Ends the only run of a job while the store does not answer and its executor
   * drains, so that the task is to run on `e2`.
   */
  async function startOutage() {
    const first = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    expect(first.running.size).toBe(1);
    const next = fixture.addExecutor("e2");
    fixture.reports.set("e1", createReport("e1", { isDraining: true }));
    fixture.store.fault = "silent";
    owner.refresh();
    first.end(`${JOB_ID}.0.0.0`, "stopped");
    await advanceTime(1_000);
    return { owner, next };
  }

  // Guards against a start that the next owner can't know of (TWICE, seed 342).
  test("start nothing before the next owner can know of them", async () => {
    const { owner, next } = await startOutage();
    owner.close();
    fixture.store.fault = undefined;
    fixture.reports.delete("e2");
    const other = fixture.addExecutor("e3");
    await fixture.startOwner(2);
    await advanceTime(1_000);
    expect(next.running.size + other.running.size).toBe(1);
  });

  // Guards against tasks that wait for a record that is stored (LOST).
  test("start a task as soon as the store has recorded them", async () => {
    const { next } = await startOutage();
    fixture.store.fault = undefined;
    await advanceTime(2_000);
    expect(next.running.size).toBe(1);
  });

  // Guards against tasks that wait for a record while others have capacity.
  test("are preferred while the store does not answer", async () => {
    const used = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    fixture.addExecutor("e2", {
      capacity: { cpu: 1_000, memoryMb: 1_000, accelerators: 0 },
    });
    fixture.store.fault = "silent";
    owner.refresh();
    used.end(`${JOB_ID}.0.0.0`, "stopped");
    await advanceTime(1_000);
    expect(used.running.size).toBe(1);
  });

  /** Returns the stored start times of the executors. */
  const storedStarts = () =>
    JSON.parse(fixture.progress().get(EXECUTOR_STARTS_KEY)!) as object;

  // Guards against a next owner that takes an executor with leases by two
  // clocks for one that has never restarted (TWICE).
  test("have no start time once they have restarted", async () => {
    fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    expect(storedStarts()).toEqual({ e1: 1 });
    fixture.addExecutor("e1", { startedAtMs: 2 });
    owner.refresh();
    await advanceTime(500);
    expect(storedStarts()).toEqual({});
    owner.close();
    const next = await fixture.startOwner(2);
    fixture.addExecutor("e3");
    next.refresh();
    fixture.accept(NEXT_JOB_ID, [createStep({
      count: 1,
      size: { cpu: 16_000, memoryMb: 500, accelerators: 0 },
    })]);
    await advanceTime(500);
    expect(storedStarts()).toEqual({ e3: 1 });
  });

  // Guards against a lasting task that waits for the longest lease of the
  // platform at an executor that has never restarted (LOST).
  test("hold no longer lease than owners grant if they did not", async () => {
    const used = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    first.close();
    const owner = await fixture.startOwner(2);
    const next = fixture.addExecutor("e2");
    owner.refresh();
    await advanceTime(500);
    used.fault = "unreachable";
    await advanceTime(5_800);
    expect(next.starts).toHaveLength(1);
  });
});
