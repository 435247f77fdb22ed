import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createMachine,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("tasks that a takeover blocks", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against a lasting task that is not run again in calm after its
  // owner and its executor ended together (LOST).
  test("run again within 7 s although an executor is gone", async () => {
    const lost = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    expect(lost.running.size).toBe(1);
    first.close();
    lost.fault = "unreachable";
    fixture.reports.delete("e1");
    const others = ["e2", "e3"].map((id) => fixture.addExecutor(id));
    fixture.machines = others.map(({ report }) => createMachine(report.id));
    await fixture.startOwner(2);
    await advanceTime(7_000);
    expect(others.flatMap(({ starts }) => starts)).toHaveLength(1);
  });

  // Guards against two runs of a task, as its executor was used for the first
  // time while the store was unreachable and has left the list (TWICE).
  test("do not run beside a run that no stored record shows", async () => {
    const first = await fixture.startOwner(1);
    const failing = fixture.addExecutor("e1");
    first.refresh();
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    expect(failing.running.size).toBe(1);
    fixture.store.fault = "silent";
    const executor = fixture.addExecutor("e2");
    first.refresh();
    failing.end(`${JOB_ID}.0.0.0`, "failed");
    await advanceTime(500);
    first.close();
    fixture.reports.delete("e2");
    fixture.store.fault = undefined;
    await fixture.startOwner(2);
    await advanceTime(2_000);
    expect(failing.running.size + executor.running.size).toBe(1);
  });
});
