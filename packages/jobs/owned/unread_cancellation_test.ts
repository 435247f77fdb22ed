import { describe, expect, test } from "@jest/globals";
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

/** Time until a read of the jobs is answered, longer than until a poll is. */
const READ_DELAY_MS = 20;

describe("an owner that has not read the jobs for some time", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /** Stores a job with one task that is due after some time. */
  const acceptDueIn = (ms: number) => {
    const accepted = createAccepted([createStep({ count: 1 })]);
    const firstRunMs = Date.now() + ms;
    Object.assign(accepted.submission, {
      firstRunMs,
      intervalMs: 1_000,
      occurrences: 1,
    });
    fixture.store.put(JOBS, {
      key: JOB_ID,
      value: JSON.stringify(accepted),
    });
  };

  // Guards against a task that starts more than 3 s after its cancelling was
  // acknowledged: the open channels to the store went silent for good, then a
  // join on a new one is answered before a read of the jobs is (UNASKED).
  test.each([3_200, 3_800, 4_600])(
    "starts no cancelled task when its ownership is confirmed after %i ms",
    async (silentMs) => {
      const executor = fixture.addExecutor("e1");
      await fixture.startOwner(1);
      // The use of the executor is stored by then.
      fixture.accept(NEXT_JOB_ID, [createStep({ count: 1 })]);
      await advanceTime(500);
      acceptDueIn(silentMs - 50);
      await advanceTime(20);

      fixture.store.fault = "silent";
      fixture.confirmedAtMs = performance.now();
      fixture.cancel(JOB_ID);
      await advanceTime(silentMs);
      // The join is answered, but no read of the jobs has been since.
      fixture.confirmedAtMs = "now";
      await advanceTime(250);
      fixture.store.fault = undefined;
      await advanceTime(2_000);
      expect(executor.starts.map(({ task }) => task)).toEqual([
        `${NEXT_JOB_ID}.0.0.0`,
      ]);
    },
  );

  // Guards against the same by a new owner that has loaded the jobs, and then
  // waits for the list of executors: it goes on with jobs as old as that.
  test("starts no task that was cancelled while it waited for executors", async () => {
    const executor = fixture.addExecutor("e1");
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    fixture.hasExecutorList = false;
    const { read } = fixture.store;
    fixture.store.read = async (partition, options) => {
      await new Promise((resolve) => setTimeout(resolve, READ_DELAY_MS));
      return await read(partition, options);
    };
    await fixture.startOwner(1);
    await advanceTime(200);
    fixture.cancel(JOB_ID);
    await advanceTime(4_000);
    fixture.hasExecutorList = true;
    await advanceTime(2_000);
    expect(executor.starts).toEqual([]);
  });
});
