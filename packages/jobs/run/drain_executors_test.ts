import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import type { Step } from "../submission.ts";

const OTHER_JOB_ID = "00000000000000a2";
const FULL_JOB_ID = "00000000000000a3";

/** Interval at which the owner of the machines renews its reservations. */
const RESERVE_INTERVAL_MS = 250;

/** Creates a step of lasting tasks, each on an executor of its own. */
function createLastingStep(
  { count, cpu }: { count: number; cpu: number },
): Step {
  return createStep({
    count,
    size: { cpu, memoryMb: 500, accelerators: 0 },
    isLasting: true,
    maxPerExecutor: 1,
    maxAway: 1,
  });
}

describe("draining", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against a step that loses one task on a reserved executor and one on
  // an executor that leaves at the same time (AVAIL on a hunted Bizerte day).
  test("stops no reserved run while another executor leaves", async () => {
    const reserved = fixture.addExecutor("e1");
    const leaving = fixture.addExecutor("e2");
    const owner = await fixture.startOwner(1);
    const step = { count: 2, isLasting: true, maxPerExecutor: 1, maxAway: 1 };
    fixture.accept(JOB_ID, [createStep(step)]);
    await advanceTime(2_500);
    expect([reserved.running.size, leaving.running.size]).toEqual([1, 1]);
    const [task] = [...leaving.running.keys()];
    const spare = fixture.addExecutor("e3");
    // The task is not ready for a while where it is placed next.
    spare.progress.set(task!, 50);
    owner.refresh();
    await advanceTime(100);
    fixture.reports.set("e2", createReport("e2", { isDraining: true }));
    owner.refresh();
    owner.reserveAndReport(new Set(["e1"]), []);
    await advanceTime(1_000);
    expect([...spare.running.keys()]).toEqual([task]);
    expect(reserved.running.size).toBe(1);
  });

  /** Keeps executors reserved for some time, as the owner of machines does. */
  async function reserve(
    owner: PartitionOwner,
    { ids, ms }: { ids: string[]; ms: number },
  ): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += RESERVE_INTERVAL_MS) {
      owner.reserveAndReport(new Set(ids), []);
      await advanceTime(RESERVE_INTERVAL_MS);
    }
  }

  // Guards against a lasting task that waits as long as executors with capacity
  // are reserved and can't be drained (LOST).
  test("starts a waiting task where a reserved run has no other place", async () => {
    const executors = ["e1", "e2", "e3", "e4", "e5", "e6"]
      .map((id) => fixture.addExecutor(id));
    const owner = await fixture.startOwner(1);
    fixture.accept(FULL_JOB_ID, [createLastingStep({ count: 4, cpu: 16_000 })]);
    await advanceTime(500);
    fixture.accept(OTHER_JOB_ID, [
      createLastingStep({ count: 2, cpu: 13_000 }),
    ]);
    await advanceTime(2_000);
    const reserved = executors.filter(({ running }) =>
      running.has(`${OTHER_JOB_ID}.0.0.0`) ||
      running.has(`${OTHER_JOB_ID}.0.0.1`)
    );
    expect(reserved).toHaveLength(2);
    const ids = reserved.map(({ report }) => report.id);
    await reserve(owner, { ids, ms: 1_000 });
    fixture.accept(JOB_ID, [createLastingStep({ count: 1, cpu: 3_000 })]);
    await reserve(owner, { ids, ms: 4_000 });
    expect(reserved.map(({ running }) => running.size).sort()).toEqual([1, 2]);
  });

  // Guards against a task whose machine is taken away as it starts, since the
  // owner of the machines was told that nothing runs there.
  test("starts no waiting task on a reserved executor that runs nothing", async () => {
    const reserved = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    await reserve(owner, { ids: ["e1"], ms: 500 });
    fixture.accept(JOB_ID, [createLastingStep({ count: 1, cpu: 3_000 })]);
    await reserve(owner, { ids: ["e1"], ms: 4_000 });
    expect(reserved.starts).toEqual([]);
  });

  // Guards against reserved executors that short tasks keep from being drained.
  test("starts no short task on a reserved executor", async () => {
    const reserved = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createLastingStep({ count: 1, cpu: 3_000 })]);
    await advanceTime(500);
    await reserve(owner, { ids: ["e1"], ms: 500 });
    fixture.accept(OTHER_JOB_ID, [createStep()]);
    await reserve(owner, { ids: ["e1"], ms: 4_000 });
    expect([...reserved.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
  });

  // Guards against two lasting tasks that are stopped for the one place that is
  // left, so that one of them has none (LOST).
  test("stops no more reserved runs than have a place elsewhere", async () => {
    const reserved = ["e1", "e2"].map((id) => fixture.addExecutor(id));
    const owner = await fixture.startOwner(1);
    for (const id of [JOB_ID, OTHER_JOB_ID]) {
      fixture.accept(id, [createLastingStep({ count: 1, cpu: 10_000 })]);
      await advanceTime(1_500);
    }
    expect(reserved.map(({ running }) => running.size)).toEqual([1, 1]);
    const spare = fixture.addExecutor("e3");
    owner.refresh();
    await advanceTime(100);
    await reserve(owner, { ids: ["e1", "e2"], ms: 4_000 });
    expect(spare.running.size).toBe(1);
    expect(reserved.map(({ running }) => running.size).sort()).toEqual([0, 1]);
  });

  /** Stops a lasting task on `e1`, which has a place on `e2`, for some time. */
  async function startSlowStop() {
    const reserved = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createLastingStep({ count: 1, cpu: 10_000 })]);
    await advanceTime(2_000);
    reserved.fault = "delayed";
    const other = fixture.addExecutor("e2");
    owner.refresh();
    await reserve(owner, { ids: ["e1"], ms: 500 });
    expect(fixture.logged.join()).toContain("runStopping");
    return { owner, reserved, other };
  }

  // Guards against short tasks that take the place of a moved task (LOST).
  test("keeps the place for a run that is being stopped", async () => {
    const { owner, reserved, other } = await startSlowStop();
    fixture.accept(OTHER_JOB_ID, [createStep({ count: 16 })]);
    await reserve(owner, { ids: ["e1"], ms: 500 });
    expect(other.running.size).toBe(6);
    reserved.fault = undefined;
    reserved.deliverDelayed();
    await reserve(owner, { ids: ["e1"], ms: 1_500 });
    expect(other.running.has(`${JOB_ID}.0.0.0`)).toBe(true);
  });

  // Guards against a machine that leaves just before a task gets there (LOST).
  test("reports no executor as idle that a stopped run is to get", async () => {
    const { owner } = await startSlowStop();
    expect(owner.reserveAndReport(new Set(["e1"]), []).idle).toEqual([]);
  });
});
