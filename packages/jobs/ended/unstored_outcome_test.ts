import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  PARTITION,
  setUpOwners,
} from "../_fixtures.ts";
import { PROGRESS_TOPIC } from "../topics.ts";

describe("a job whose owner ends before its outcome is stored", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against a job that stays running for good: the last end of a task is
  // stored before the outcome, and its executor can't report it again (LOST).
  test("is completed by the next owner if all tasks are done", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(500);
    const { append } = fixture.store;
    fixture.store.append = async (partition, options) => {
      const outcome = await append(partition, options);
      const stores = options.records.some(({ value }) =>
        value?.includes('"outcome"') === true
      );
      if (partition.topic === PROGRESS_TOPIC && stores) first.close();
      return outcome;
    };
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(500);
    fixture.store.append = append;
    executor.fault = "unreachable";
    fixture.reports.delete("e1");
    const next = await fixture.startOwner(2);
    await advanceTime(12_000);
    expect(await next.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "completed",
    });
  });

  // Guards against the same for a record of the last end without the outcome.
  test("is completed by the next owner if only its last end is stored", async () => {
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    fixture.store.put({ topic: PROGRESS_TOPIC, partition: PARTITION }, {
      key: JOB_ID,
      value: JSON.stringify({ done: { "0.0": "1" }, failed: {} }),
    });
    const owner = await fixture.startOwner(2);
    await advanceTime(500);
    expect(await owner.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "completed",
    });
  });
});
