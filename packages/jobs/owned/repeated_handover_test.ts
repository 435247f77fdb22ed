import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("a takeover after several handovers", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against two runs of a task that two handovers name on two executors,
  // as the end of the wait for one unblocks it (TWICE).
  test("waits for each executor on which a task may run", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    cut.fault = "unreachable";
    // A start without an answer makes the wait for `e1` longer than the lease.
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(100);
    await Promise.all([first.release(1_000), advanceTime(100)]);
    const silent = fixture.addExecutor("e2");
    const second = await fixture.startOwner(2);
    await advanceTime(5_000);
    expect([...silent.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
    silent.fault = "unreachable";
    await Promise.all([second.release(1_000), advanceTime(100)]);
    const other = fixture.addExecutor("e3");
    await fixture.startOwner(3);
    await advanceTime(3_000);
    expect(silent.leaseExpiryMs - silent.clockOffsetMs)
      .toBeGreaterThan(performance.now());
    expect(other.starts.filter(({ task }) => task.startsWith(JOB_ID)))
      .toEqual([]);
  });

  // Guards against two runs of a task, as the next handover but one takes the
  // wait for other silent executors for that of a run's lease (TWICE).
  test("keeps the lease of a run beside executors of no known runs", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    first.close();
    const unheard = fixture.addExecutor("e2");
    unheard.fault = "unreachable";
    const second = await fixture.startOwner(2);
    // Nearly as long as a new owner waits for `e2`.
    await advanceTime(7_000);
    executor.fault = "unreachable";
    await Promise.all([second.release(1_000), advanceTime(100)]);
    const third = await fixture.startOwner(3);
    await Promise.all([third.release(1_000), advanceTime(100)]);
    const other = fixture.addExecutor("e3");
    await fixture.startOwner(4);
    await advanceTime(2_000);
    expect(executor.leaseExpiryMs - executor.clockOffsetMs)
      .toBeGreaterThan(performance.now());
    expect(other.starts).toEqual([]);
  });
});
