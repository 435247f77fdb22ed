import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

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
});
