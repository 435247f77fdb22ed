import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

const LARGE = { cpu: 14_000, memoryMb: 500, accelerators: 0 };
const SMALL = { cpu: 2_500, memoryMb: 500, accelerators: 0 };

describe("runs that an owner finds and does not adopt", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  function hasPlaced(job: string): boolean {
    return fixture.logged.some((line) =>
      line.startsWith("taskPlaced") && line.includes(job)
    );
  }

  /** Adds an executor that runs a task of a job that nobody knows. */
  function addExecutorWithUnknownRun() {
    const executor = fixture.addExecutor("e1");
    executor.fault = "delayed";
    executor.leaseExpiryMs = Infinity;
    executor.running.set("00000000000000c3.0.0.0", {
      run: 1,
      checkpoint: "",
      startedAtMs: 0,
    });
    return executor;
  }

  // Guards against a start beyond the capacity of an executor that starts
  // whatever it is told to (LIMIT).
  test("occupy capacity until a cancelled job's run has stopped", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, size: LARGE })]);
    await advanceTime(500);
    expect([...executor.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
    first.close();
    executor.fault = "delayed";
    fixture.cancel(JOB_ID);
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1, size: SMALL })]);
    await fixture.startOwner(2);
    await advanceTime(1_500);
    expect(hasPlaced(NEXT_JOB_ID)).toBe(false);
    executor.fault = undefined;
    executor.deliverDelayed();
    await advanceTime(1_500);
    expect([...executor.running.keys()]).toEqual([`${NEXT_JOB_ID}.0.0.0`]);
  });

  // Guards against the same for a run whose size nobody knows any more.
  test("occupy the whole executor if their job is not known", async () => {
    const executor = addExecutorWithUnknownRun();
    fixture.accept(JOB_ID, [createStep({ count: 1, size: SMALL })]);
    await fixture.startOwner(1);
    await advanceTime(1_500);
    expect(hasPlaced(JOB_ID)).toBe(false);
    executor.fault = undefined;
    executor.deliverDelayed();
    await advanceTime(1_500);
    expect([...executor.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
  });

  // Guards against a run that goes on since its only stop was lost.
  test("are stopped again if a stop gets lost on an idle executor", async () => {
    const executor = addExecutorWithUnknownRun();
    await fixture.startOwner(1);
    executor.fault = undefined;
    await advanceTime(2_500);
    expect(executor.running.size).toBe(0);
  });
});
