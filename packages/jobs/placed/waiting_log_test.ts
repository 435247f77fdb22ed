import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("createWaitingLog", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against a lasting task that waits without a line that says why.
  test("tells what each executor lacks for a task without a run", async () => {
    fixture.addExecutor("e1");
    fixture.addExecutor("e2");
    const owner = await fixture.startOwner(1);
    owner.reserveAndReport(new Set(["e2"]), []);
    const step = createStep({ count: 2, isLasting: true, maxPerExecutor: 1 });
    fixture.accept(JOB_ID, [step]);
    await advanceTime(2_900);
    const waiting = fixture.logged.filter((line) =>
      line.startsWith("taskWaiting")
    );
    expect(waiting).toHaveLength(1);
    expect(waiting[0]).toContain(`${JOB_ID}.0.0.1`);
    expect(waiting[0]).toContain("2 executors: 1 spread, 1 reserved");
  });

  // Guards against a run that is taken for a running one and never reported.
  test("tells the state of a run that no executor reports", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    executor.fault = "unreachable";
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(2_900);
    const waiting = fixture.logged.find((line) =>
      line.startsWith("taskWaiting")
    );
    expect(waiting).toContain("run 1 on e1 is uncertain");
  });
});
