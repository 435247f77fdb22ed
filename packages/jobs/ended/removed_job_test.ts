import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  JOBS,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

/** Time until a list of newest records arrives, on several pages. */
const LIST_MS = 1_000;

/** Time before the search that finds the job expired, 155 s after the start. */
const BEFORE_REMOVAL_MS = 800;

describe("a job whose retention time is over", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against a completed job that runs again: its owner removes it while
  // a list of the newest records is under way that still holds it (TWICE).
  test("does not come back with an older list of records", async () => {
    const executor = fixture.addExecutor("e1");
    const { readNewest } = fixture.store;
    let listMs = 0;
    fixture.store.readNewest = async (partition) => {
      const outcome = await readNewest(partition);
      if (listMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, listMs));
      }
      return outcome;
    };
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(200);
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(155_000 - BEFORE_REMOVAL_MS - 250);
    expect(owner.jobs.has(JOB_ID)).toBe(true);

    // The store forgets its history before the owner has read a new job.
    listMs = LIST_MS;
    fixture.store.fault = "refusing";
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1 })]);
    fixture.store.dropHistory(JOBS);
    await advanceTime(200);
    fixture.store.fault = undefined;
    await advanceTime(5_000);
    expect(executor.starts.map(({ task }) => task)).toEqual([
      `${JOB_ID}.0.0.0`,
      `${NEXT_JOB_ID}.0.0.0`,
    ]);
  });
});
