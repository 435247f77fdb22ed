import { describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createAccepted,
  createStep,
  JOB_ID,
  JOBS,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

/** Times of a job that runs each minute for two weeks. */
const TIMES = 20_160;

/** Time between two moments at which all running tasks end. */
const ROUND_MS = 250;

/** Rounds in which the job completes, with some reserve. */
const MAX_ROUNDS = 120;

const EXECUTORS = Array.from({ length: 12 }, (_, index) => `e${index}`);

const NO_SIZE = { cpu: 0, memoryMb: 0, accelerators: 0 };

const SMALL_STEP = createStep({
  count: 1,
  size: { cpu: 10, memoryMb: 1, accelerators: 0 },
});

describe("a job that runs many times", () => {
  let fixture: OwnerFixture;

  setUpOwners((created) => fixture = created);

  function acceptSchedule(firstRunMs: number, intervalMs: number) {
    const accepted = createAccepted([SMALL_STEP]);
    Object.assign(accepted.submission, {
      firstRunMs,
      intervalMs,
      occurrences: TIMES,
    });
    fixture.store.put(JOBS, {
      key: JOB_ID,
      value: JSON.stringify(accepted),
    });
  }

  function endAll(executor: MemoryExecutor) {
    for (const task of [...executor.running.keys()]) executor.end(task, "done");
  }

  /** Plays rounds until all times have run; returns the started tasks. */
  async function runAll(executors: MemoryExecutor[]): Promise<string[]> {
    const starts = () =>
      executors.flatMap(({ starts }) => starts.map(({ task }) => task));
    for (let round = 0; round < MAX_ROUNDS; round++) {
      await advanceTime(ROUND_MS);
      executors.forEach(endAll);
      if (starts().length >= TIMES) break;
    }
    await advanceTime(2 * ROUND_MS);
    return starts();
  }

  // Guards against progress that outgrows a record of the store, so that
  // nothing of the partition is stored and no other job begins (LOST).
  test("leaves its partition able to begin other jobs", async () => {
    acceptSchedule(0, 60_000);
    const executors = [fixture.addExecutor("e1"), fixture.addExecutor("e2")];
    const owner = await fixture.startOwner(1);
    const starts = await runAll(executors);
    expect(starts).toHaveLength(TIMES);
    expect(new Set(starts).size).toBe(TIMES);
    await advanceTime(2_000);
    expect(await owner.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "completed",
    });
    fixture.accept(NEXT_JOB_ID, [SMALL_STEP]);
    await advanceTime(1_000);
    expect(executors.some(({ running }) => running.size > 0)).toBe(true);
  });

  // Guards against an owner that ends as its memory is full: it created the
  // tasks of all times at once that were due (LOST).
  test("has no tasks of times that are over or come later", async () => {
    acceptSchedule(0, 60_000);
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    for (let round = 0; round < 10; round++) {
      await advanceTime(ROUND_MS);
      endAll(executor);
      expect(owner.jobs.get(JOB_ID)!.groups.length).toBeLessThan(5_000);
    }
    expect(executor.starts.length).toBeGreaterThan(5_000);
  });

  // Guards against work that the next owner does again or leaves out.
  test("goes on under the next owner where it was", async () => {
    acceptSchedule(0, 60_000);
    const executors = [fixture.addExecutor("e1"), fixture.addExecutor("e2")];
    const first = await fixture.startOwner(1);
    for (let round = 0; round < 10; round++) {
      await advanceTime(ROUND_MS);
      executors.forEach(endAll);
    }
    await advanceTime(50);
    first.close();
    await fixture.startOwner(2);
    const starts = await runAll(executors);
    expect(starts).toHaveLength(TIMES);
    expect(new Set(starts).size).toBe(TIMES);
  });
});

describe("a job with many failed tasks", () => {
  let fixture: OwnerFixture;

  setUpOwners((created) => fixture = created);

  // Guards against progress that outgrows a record of the store within one
  // occurrence, by its failed runs (LOST, BUDGET).
  test("goes on under the next owner with the failures that it had", async () => {
    const count = 9_000;
    fixture.accept(JOB_ID, [{ ...SMALL_STEP, size: NO_SIZE, count }]);
    const executors = EXECUTORS.map((id) => fixture.addExecutor(id));
    const first = await fixture.startOwner(1);
    await advanceTime(500);
    for (const executor of executors) {
      const tasks = [...executor.running.keys()];
      for (const task of tasks) executor.end(task, "failed");
    }
    await advanceTime(500);
    first.close();
    const second = await fixture.startOwner(2);
    const { groups } = second.jobs.get(JOB_ID)!;
    expect(groups[0]!.tasks.every(({ failureCount }) => failureCount === 1))
      .toBe(true);
    fixture.accept(NEXT_JOB_ID, [SMALL_STEP]);
    await advanceTime(1_000);
    expect(second.jobs.get(NEXT_JOB_ID)!.hasStarted).toBe(true);
  });
});
