import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("an executor that answers polls only", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against a lasting task that is placed on the same executor again and
  // again, though its starts are lost there and others have capacity (LOST).
  test("does not keep a task from running elsewhere", async () => {
    fixture.addExecutor("e1");
    const others = ["e2", "e3"].map((id) => fixture.addExecutor(id));
    await fixture.startOwner(1);
    const { start } = fixture.executors;
    fixture.executors.start = async (target, request) => {
      if (target.id !== "e1") return start(target, request);
      await new Promise((resolve) => setTimeout(resolve, 700));
      return { type: "unknown", reason: "ETIMEDOUT" };
    };
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(6_000);
    expect(others.flatMap(({ starts }) => starts)).toHaveLength(1);
  });
});
