import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("the start of a job", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  const isStartStored = (id: string) =>
    JSON.parse(fixture.progress().get(id) ?? "{}").hasStarted === true;

  // Guards against a job at work that seems to wait, as only its owner knows.
  test("is stored for a job at work, not for one that waits", async () => {
    fixture.addExecutor("e1");
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    const size = { cpu: 1_000_000, memoryMb: 500, accelerators: 0 };
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1, size })]);
    await fixture.startOwner(1);
    await advanceTime(3_000);
    expect(fixture.progress().has(NEXT_JOB_ID)).toBe(true);
    expect([JOB_ID, NEXT_JOB_ID].map(isStartStored)).toEqual([true, false]);
  });

  // Guards against a job that seems to wait again after a takeover.
  test("is known to the next owner before the executor answers", async () => {
    const executor = fixture.addExecutor("e1");
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    const first = await fixture.startOwner(1);
    await advanceTime(3_000);
    first.close();
    executor.fault = "unreachable";
    const next = await fixture.startOwner(2);
    expect(await next.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "running",
    });
  });

  // Guards against an append for each start of a short job.
  test("takes no append of its own where an end follows", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(300);
    const appends = fixture.store.calls["append"]!;
    await advanceTime(500);
    expect(fixture.store.calls["append"]).toBe(appends);
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(2_000);
    // One for the end and one for the outcome.
    expect(fixture.store.calls["append"]).toBe(appends + 2);
  });
});
