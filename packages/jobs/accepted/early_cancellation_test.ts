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
import { cancelKey } from "../topics.ts";

/** Time for which a cancellation without a job is kept. */
const RETENTION_MS = 150_000;

describe("a cancellation that stands before its submission", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  const submit = () => fixture.accept(JOB_ID, [createStep()]);
  const cancellations = () =>
    [...fixture.store.readNewestValues(JOBS).keys()].filter((key) =>
      key === cancelKey(JOB_ID)
    );

  // Guards against a task that starts after its cancelling was acknowledged,
  // since the append of its submission was carried out late (UNASKED).
  test("lets no task start for the owner that reads both", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.cancel(JOB_ID);
    await advanceTime(6_000);
    expect(await owner.getJobState(JOB_ID)).toEqual({ type: "missing" });
    submit();
    await advanceTime(6_000);
    expect(executor.starts).toEqual([]);
    expect(await owner.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "cancelled",
    });
  });

  // Guards against the same with an owner that loads the cancellation and reads
  // the submission later (UNASKED).
  test("lets no task start for a later owner", async () => {
    const executor = fixture.addExecutor("e1");
    fixture.cancel(JOB_ID);
    await fixture.startOwner(1);
    await advanceTime(1_000);
    submit();
    await advanceTime(6_000);
    expect(executor.starts).toEqual([]);
  });

  // Guards against the same for a submission that was repeated after the
  // cancelling, when an owner reads only the newest records (UNASKED).
  test("lets no task start after a gap in the history", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.store.fault = "refusing";
    submit();
    fixture.cancel(JOB_ID);
    submit();
    fixture.store.dropHistory(JOBS);
    await advanceTime(1_000);
    fixture.store.fault = undefined;
    await advanceTime(6_000);
    expect(executor.starts).toEqual([]);
  });

  // Guards against a job of the same partition that does not start either.
  test("leaves other jobs alone", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.cancel(JOB_ID);
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(1_000);
    expect(executor.starts.map(({ task }) => task)).toEqual([
      `${NEXT_JOB_ID}.0.0.0`,
    ]);
  });

  // Guards against a store and an owner that grow with each cancellation of a
  // job that never comes.
  test.each([1, 2])(
    "is deleted after its retention time by owner %i",
    async (epoch) => {
      const first = await fixture.startOwner(1);
      fixture.store.put(JOBS, {
        key: cancelKey(JOB_ID),
        value: JSON.stringify({ cancelledAtMs: Date.now() }),
      });
      await advanceTime(1_000);
      if (epoch > 1) {
        first.close();
        await fixture.startOwner(epoch);
      }
      await advanceTime(RETENTION_MS - 10_000);
      expect(cancellations()).toHaveLength(1);
      await advanceTime(20_000);
      expect(cancellations()).toEqual([]);
    },
  );
});
