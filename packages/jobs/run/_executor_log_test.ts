import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("the log of an owner", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  async function startTask() {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(1_500);
    return { executor, owner };
  }

  /** Returns the fields of the events of a name. */
  const loggedAs = (name: string) =>
    fixture.logged.filter((line) => line.startsWith(`${name} `))
      .map((line) => JSON.parse(line.slice(name.length + 1)) as object);

  // Guards against two runs of a task of which no log tells why the first one
  // counted as ended.
  test("tells that a lease has expired, and for how long", async () => {
    const { executor } = await startTask();
    executor.fault = "unreachable";
    await advanceTime(8_000);
    expect(loggedAs("runsGivenUp")).toEqual([{
      executor: "e1",
      runs: 1,
      evidence: "lease",
      startedAtMs: 1,
      silentMs: expect.any(Number),
      leaseOverMs: expect.any(Number),
      confirmedMs: 0,
    }]);
  });

  // Guards against the same where a restart is the evidence.
  test("tells that the executor has restarted", async () => {
    const { owner } = await startTask();
    fixture.addExecutor("e1", { startedAtMs: 2 });
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    expect(loggedAs("executorRestarted")).toEqual([
      { executor: "e1", runs: 1, shownBy: "list", startedAtMs: 1 },
    ]);
    expect(loggedAs("runsGivenUp"))
      .toEqual([expect.objectContaining({ evidence: "restart" })]);
  });

  // Guards against the same where the owner of the machines gives the evidence.
  test("tells that the machine was taken away", async () => {
    const { owner } = await startTask();
    owner.reserveAndReport(new Set(), ["e1"]);
    owner.reserveAndReport(new Set(), ["e1"]);
    expect(loggedAs("executorTakenAway")).toEqual([{ executor: "e1" }]);
    expect(loggedAs("runsGivenUp"))
      .toEqual([expect.objectContaining({ evidence: "end" })]);
  });
});
