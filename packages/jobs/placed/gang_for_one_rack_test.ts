import { beforeEach, describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { Step } from "../submission.ts";

/** Time in which a task starts that waits for nothing. */
const START_MS = 500;

/** Time without a run, with room for it, after which a job counts as lost. */
const LOST_MS = 3_000;

/** Size of which an executor has capacity for one task. */
const SIZE = { cpu: 9_000, memoryMb: 1, accelerators: 0 };

/** Label of the executor that another job can occupy. */
const BUSY = "busy";

describe("a gang for one rack", () => {
  let fixture: OwnerFixture;
  let executors: MemoryExecutor[];
  let busy: MemoryExecutor;

  setUpOwners((created) => fixture = created);

  beforeEach(async () => {
    const add = (id: string, ...labels: string[]) =>
      fixture.addExecutor(id, { labels: ["a", ...labels] });
    busy = add("e3", "r1", BUSY);
    executors = [add("e1", "r1"), add("e2", "r1"), busy];
    executors.push(add("e4", "r2"), add("e5", "r2"));
    await fixture.startOwner(1);
  });

  function gangOf(count: number, fields: Partial<Step> = {}): Step {
    const step = { count, size: SIZE, isGang: true, isSameRack: true };
    return createStep({ ...step, ...fields });
  }

  /** Lets another job occupy an executor of the larger rack. */
  async function occupyRack() {
    fixture.accept(NEXT_JOB_ID, [
      createStep({ count: 1, size: SIZE, label: BUSY }),
    ]);
    await advanceTime(START_MS);
    expect(busy.running.size).toBe(1);
  }

  /** Returns the ids of the executors that run tasks of a step of the gang. */
  function placesOf(stepIndex = 0): string[] {
    const prefix = `${JOB_ID}.0.${stepIndex}.`;
    return executors.filter(({ running }) =>
      [...running.keys()].some((task) => task.startsWith(prefix))
    ).map(({ report }) => report.id);
  }

  /** Expects that the gang waits for a second, then starts in its rack. */
  async function expectWaitForRack(stepIndex = 0) {
    await advanceTime(1_000);
    expect(placesOf(stepIndex)).toEqual([]);
    busy.end(`${NEXT_JOB_ID}.0.0.0`, "done");
    await advanceTime(START_MS);
    expect(placesOf(stepIndex)).toEqual(["e1", "e2", "e3"]);
  }

  // Guards against a gang that waits for ever for a rack that is large enough
  // (LOST).
  test("starts on several racks at once if none can hold it", async () => {
    fixture.accept(JOB_ID, [gangOf(4)]);
    await advanceTime(START_MS);
    expect(placesOf()).toHaveLength(4);
  });

  // Guards against the same if a limit of its tasks on an executor is why.
  test("starts on several racks if its spread fits in none", async () => {
    const size = { ...SIZE, cpu: 1_000 };
    fixture.accept(JOB_ID, [gangOf(8, { size, maxPerExecutor: 2 })]);
    await advanceTime(START_MS);
    expect(placesOf()).toHaveLength(4);
  });

  // Guards against a gang that is slowed down by several racks, although a task
  // in the one that it needs is about to end.
  test("waits for a rack that is busy", async () => {
    await occupyRack();
    fixture.accept(JOB_ID, [gangOf(3)]);
    await expectWaitForRack();
  });

  // Guards against a gang that waits for a rack in which others go on (LOST).
  test("starts on several racks if its own stays busy", async () => {
    await occupyRack();
    fixture.accept(JOB_ID, [gangOf(3)]);
    await advanceTime(LOST_MS - START_MS);
    expect(placesOf()).toHaveLength(3);
  });

  // Guards against a gang that waits for an executor which does not come back,
  // for as long as a list shows it (LOST).
  test("starts on several racks while an executor is silent", async () => {
    await occupyRack();
    busy.fault = "unreachable";
    await advanceTime(10_000);
    fixture.accept(JOB_ID, [gangOf(3)]);
    await advanceTime(1_000);
    expect(placesOf()).toEqual([]);
    await advanceTime(LOST_MS - START_MS - 1_000);
    expect(placesOf()).toHaveLength(3);
  });

  // Guards against a gang that is spread at once as it has waited for its turn.
  test("waits for a rack from its turn on", async () => {
    await occupyRack();
    fixture.accept(JOB_ID, [
      createStep({ count: 1, size: SIZE, label: "a" }),
      gangOf(3, { dependsOn: [0] }),
    ]);
    await advanceTime(LOST_MS);
    for (const executor of executors) executor.end(`${JOB_ID}.0.0.0`, "done");
    await expectWaitForRack(1);
  });

  // Guards against a gang that stays spread after it has ended without success,
  // as its earlier wait still counts.
  test("waits for a rack again after a run has failed", async () => {
    await occupyRack();
    fixture.accept(JOB_ID, [gangOf(3)]);
    await advanceTime(LOST_MS);
    expect(placesOf()).toHaveLength(3);
    for (const executor of executors) {
      for (const task of [...executor.running.keys()]) {
        if (task.startsWith(JOB_ID)) executor.end(task, "broken");
      }
    }
    await expectWaitForRack();
  });
});
