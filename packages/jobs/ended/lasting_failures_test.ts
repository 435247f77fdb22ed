import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

const TASK = `${JOB_ID}.0.0.0`;
const SHORT_TASK = `${JOB_ID}.0.1.0`;

describe("a lasting task that fails again and again", () => {
  let fixture: OwnerFixture;

  setUpOwners((created) => fixture = created);

  // Guards against progress that grows with each failure of a task that may
  // fail at any time, until the store refuses it (LOST).
  test("leaves nothing in the stored progress", async () => {
    const executor = fixture.addExecutor("e1");
    fixture.accept(JOB_ID, [
      createStep({ count: 1, isLasting: true }),
      createStep({ count: 1 }),
    ]);
    await fixture.startOwner(1);
    for (let failures = 0; failures < 20; failures++) {
      await advanceTime(500);
      executor.end(TASK, "failed");
    }
    expect(executor.starts.length).toBeGreaterThan(15);
    executor.end(SHORT_TASK, "done");
    await advanceTime(500);
    expect(JSON.parse(fixture.progress().get(JOB_ID)!)).toEqual({
      done: { "0.1": "1" },
      failed: {},
      service: "quoting",
      hasStarted: true,
    });
  });
});
