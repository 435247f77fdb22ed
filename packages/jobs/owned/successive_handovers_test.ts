import { describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "./partition_owner.ts";

const TASK = `${JOB_ID}.0.0.0`;

describe("successive handovers", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  const release = async (owner: PartitionOwner) => {
    await Promise.all([owner.release(1_000), advanceTime(200)]);
  };

  /** Returns the time that is left of an executor's lease. */
  const leaseMs = ({ leaseExpiryMs, clockOffsetMs }: MemoryExecutor) =>
    leaseExpiryMs - clockOffsetMs - performance.now();

  // Guards against the end of the wait for one executor that unblocks a task
  // which runs on another one, while neither of them answers.
  test("block a task until all executors that they name for it", async () => {
    const step = createStep({ count: 1, isLasting: true });
    const e1 = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [step]);
    await advanceTime(1_000);
    expect([...e1.running.keys()]).toEqual([TASK]);
    // A start without an answer makes the wait longer than that for the task.
    e1.fault = "unreachable";
    fixture.accept(NEXT_JOB_ID, [step]);
    await advanceTime(50);
    await release(first);

    const e2 = fixture.addExecutor("e2");
    const second = await fixture.startOwner(2);
    while (!e2.running.has(TASK)) await advanceTime(10);
    expect(leaseMs(e1)).toBeLessThan(0);
    e2.fault = "unreachable";
    await release(second);

    const e3 = fixture.addExecutor("e3");
    await fixture.startOwner(3);
    while (leaseMs(e2) > 0) {
      expect([...e3.running.keys()]).not.toContain(TASK);
      await advanceTime(10);
    }
    await advanceTime(3_000);
    expect([...e3.running.keys()]).toContain(TASK);
  });

  // Guards against an owner that hands on the end of its general wait instead
  // of that for a silent executor, whose lease lasts longer.
  test("hand on how long the lease of a silent executor lasts", async () => {
    const step = createStep({ count: 1, isLasting: true });
    fixture.addExecutor("e0").fault = "unreachable";
    const e1 = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    await advanceTime(7_000);
    fixture.accept(JOB_ID, [step]);
    await advanceTime(1_000);
    expect([...e1.running.keys()]).toEqual([TASK]);
    await release(first);

    e1.fault = "unreachable";
    const second = await fixture.startOwner(2);
    await advanceTime(1_500);
    await release(second);
    expect(leaseMs(e1)).toBeGreaterThan(1_000);

    const e2 = fixture.addExecutor("e2");
    await fixture.startOwner(3);
    while (leaseMs(e1) > 0) {
      expect([...e2.running.keys()]).not.toContain(TASK);
      await advanceTime(10);
    }
    await advanceTime(3_000);
    expect([...e2.running.keys()]).toContain(TASK);
  });
});
