import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createAccepted,
  createStep,
  JOB_ID,
  JOBS,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

/** Time by which the clock of the first owner is ahead. */
const CLOCK_DIFFERENCE_MS = 5_000;

const INTERVAL_MS = 4_000;

const SECOND_TASK = `${JOB_ID}.1.0.0`;

describe("an owner whose clock is behind that of the owner before it", () => {
  let fixture: OwnerFixture;
  let executor: MemoryExecutor;

  setUpOwners((created) => fixture = created);

  beforeEach(() => {
    executor = fixture.addExecutor("e1");
  });

  function acceptRepeatedJob() {
    const accepted = createAccepted([createStep({ count: 1 })]);
    accepted.submission.firstRunMs = Date.now();
    accepted.submission.intervalMs = INTERVAL_MS;
    accepted.submission.occurrences = 2;
    fixture.store.put(JOBS, {
      key: JOB_ID,
      value: JSON.stringify(accepted),
    });
  }

  /** Runs both occurrences under an owner whose clock is ahead. */
  async function startFirstOwner() {
    acceptRepeatedJob();
    jest.setSystemTime(Date.now() + CLOCK_DIFFERENCE_MS);
    const owner = await fixture.startOwner(1);
    await advanceTime(500);
    expect(executor.running.has(SECOND_TASK)).toBe(true);
    return owner;
  }

  async function startSecondOwner() {
    jest.setSystemTime(Date.now() - CLOCK_DIFFERENCE_MS);
    await fixture.startOwner(2);
    await advanceTime(INTERVAL_MS + 6_000);
  }

  function countStarts(): number {
    return executor.starts.filter(({ task }) => task === SECOND_TASK).length;
  }

  // Guards against progress that is lost as its occurrence is not due (TWICE).
  test("runs no task again whose end is stored", async () => {
    const first = await startFirstOwner();
    executor.end(SECOND_TASK, "done");
    await advanceTime(500);
    first.close();
    await startSecondOwner();
    expect(countStarts()).toBe(1);
  });

  // Guards against the same for an end that no owner has stored.
  test("runs no task again whose end an executor reports", async () => {
    const first = await startFirstOwner();
    first.close();
    executor.end(SECOND_TASK, "done");
    await startSecondOwner();
    expect(countStarts()).toBe(1);
  });

  // Guards against stopping a run whose occurrence is not due yet.
  test("adopts a run of the owner before it", async () => {
    const first = await startFirstOwner();
    first.close();
    await startSecondOwner();
    expect(countStarts()).toBe(1);
    expect(executor.running.has(SECOND_TASK)).toBe(true);
  });
});
