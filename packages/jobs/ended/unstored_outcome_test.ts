import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
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
        value?.includes('"done":{"0.0"') === true
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
});
