import { beforeEach, describe, expect, test } from "@jest/globals";
import {
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import {
  type CrashingExecutors,
  createCrashingExecutors,
} from "./_crashing_executors.ts";

const DEADLY_TASK = `${JOB_ID}.0.0.0`;

/** Most starts in a minute of a task that crashes its executors. */
const MAX_STARTS = 5;

describe("a lasting task that crashes the executors on which it starts", () => {
  let fixture: OwnerFixture;
  let owner: PartitionOwner;
  let executors: CrashingExecutors;

  setUpOwners((created) => fixture = created);

  beforeEach(() => {
    executors = createCrashingExecutors(fixture);
  });

  const addHosts = (count: number) => {
    for (let index = 1; index <= count; index++) executors.addHost(index);
  };

  const play = (
    seconds: number,
    isDeadly = (task: string): boolean => task === DEADLY_TASK,
  ) => executors.play(owner, { seconds, whatReturns: "newId", isDeadly });

  // Guards against a lasting job that ends for good, and against a lasting task
  // that crashes executor after executor (AVAIL, BUDGET).
  test("is held back without stopping the others", async () => {
    addHosts(8);
    owner = await fixture.startOwner(1);
    const step = createStep({ count: 5, isLasting: true, maxPerExecutor: 1 });
    fixture.accept(JOB_ID, [step]);
    const starts = await play(60);
    expect(starts.length).toBeGreaterThanOrEqual(3);
    expect(starts.length).toBeLessThanOrEqual(MAX_STARTS);
    expect(await owner.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "running",
    });
    expect(fixture.logged.filter((line) => line.startsWith("runStopping")))
      .toEqual([]);
    const others = [1, 2, 3, 4].map((index) => `${JOB_ID}.0.0.${index}`);
    expect([...executors.findRunning()].sort()).toEqual(others);
    // The task crashes executors no more.
    await play(90, () => false);
    expect([...executors.findRunning()].sort()).toEqual([
      DEADLY_TASK,
      ...others,
    ]);
  });

  // Guards against a lasting task that is held back less by each new owner, or
  // whose job then seems not to have begun (BUDGET).
  test("is held back although its owner changes", async () => {
    addHosts(6);
    owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    let starts = await play(20);
    for (let epoch = 2; epoch <= 5; epoch++) {
      owner.close();
      owner = await fixture.startOwner(epoch);
      starts = await play(10);
      expect(await owner.getJobState(JOB_ID))
        .toEqual({ type: "known", value: "running" });
    }
    expect(starts.length).toBeGreaterThanOrEqual(3);
    expect(starts.length).toBeLessThanOrEqual(MAX_STARTS);
  });
});
