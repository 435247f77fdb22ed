import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

/** Ends that one answer of the platform's executors holds. */
const MAX_REPORTED_ENDS = 500;

describe("a takeover", () => {
  let fixture: OwnerFixture;

  setUpOwners((created) => fixture = created);

  // Guards against a task that runs again after it was done (TWICE), since its
  // end was not among the first ones that an executor reports.
  test("starts no task whose end a truncated answer left out", async () => {
    const { poll } = fixture.executors;
    fixture.executors.poll = async (target, request) => {
      const outcome = await poll(target, request);
      if (outcome.type !== "polled") return outcome;
      const isTruncated = outcome.ended.length > MAX_REPORTED_ENDS;
      if (isTruncated && request.token === 2) used.fault = "unreachable";
      return { ...outcome, ended: outcome.ended.slice(0, MAX_REPORTED_ENDS) };
    };
    const used = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    first.close();
    const task = `${JOB_ID}.0.0.0`;
    const run = used.running.get(task)!;
    for (let index = 0; index < MAX_REPORTED_ENDS; index++) {
      const other = `00000000000000b2.0.0.${index}`;
      used.running.set(other, { ...run });
      used.end(other, "done");
    }
    used.end(task, "done");
    const other = fixture.addExecutor("e2");
    await fixture.startOwner(2);
    await advanceTime(2_000);
    expect(used.starts).toHaveLength(1);
    expect(other.starts).toEqual([]);
  });
});
