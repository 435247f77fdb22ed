import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("an executor whose runs are lost", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  const lossesOf = (id: string) =>
    fixture.logged.filter((line) =>
      /^(executorLost|lossResolved) /.test(line) && line.includes(`"${id}"`)
    );

  // Guards against logs that do not tell a crash from a lapsed lease.
  test("is logged as crashed once another one has its address", async () => {
    const executor = fixture.addExecutor("e1", { address: "127.0.0.1:7" });
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    executor.fault = "unreachable";
    await advanceTime(6_000);
    expect(lossesOf("e1")).toEqual([
      `executorLost {"executor":"e1","runs":1,` +
      `"justStarted":"${JOB_ID}.0.0.0","hasCrashed":false}`,
    ]);
    const next = { address: "127.0.0.1:7", startedAtMs: 2 };
    fixture.reports.delete("e1");
    fixture.reports.set("e2", createReport("e2", next));
    owner.refresh();
    expect(lossesOf("e1").slice(1)).toEqual([
      `lossResolved {"executor":"e1","hasCrashed":true}`,
    ]);
  });

  // Guards against a crash that is assumed while an executor was only cut off.
  test("is logged as sound once the same process answers again", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    executor.fault = "unreachable";
    await advanceTime(6_000);
    executor.fault = undefined;
    await advanceTime(1_000);
    expect(lossesOf("e1").slice(1)).toEqual([
      `lossResolved {"executor":"e1","hasCrashed":false}`,
    ]);
  });

  // Guards against a line with each check while a start without an answer is
  // kept, as the list does not show the restart yet.
  test("is logged once while the list is behind", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "unreachable";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    const oldReport = fixture.reports.get("e1")!;
    fixture.addExecutor("e1", { startedAtMs: 2 });
    const newReport = fixture.reports.get("e1")!;
    fixture.reports.set("e1", oldReport);
    await advanceTime(2_000);
    fixture.reports.set("e1", newReport);
    owner.refresh();
    await advanceTime(2_000);
    expect(lossesOf("e1")).toHaveLength(1);
  });

  // Guards against a crash that counts for a task though a later start without
  // an answer may have caused it (AVAIL, LOST).
  test.each(["list", "answer"])(
    "is not blamed on a run before a start without an answer, by the %s",
    async (firstSign) => {
      const executor = fixture.addExecutor("e1");
      const owner = await fixture.startOwner(1);
      fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
      await advanceTime(1_200);
      const { start } = fixture.executors;
      fixture.executors.start = async (target, request) => {
        await start(target, request);
        executor.fault = "unreachable";
        return { type: "unknown", reason: "ECONNRESET" };
      };
      fixture.accept("00000000000000b1", [createStep({ count: 1 })]);
      await advanceTime(3_000);
      fixture.executors.start = start;
      fixture.addExecutor("e1", { startedAtMs: 2 });
      if (firstSign === "answer") await advanceTime(800);
      owner.refresh();
      await advanceTime(1_000);
      const suspected = fixture.logged.filter((line) =>
        line.startsWith("taskSuspected ") && line.includes(JOB_ID)
      );
      expect(suspected).toEqual([
        expect.stringContaining(`"startedLast":false`),
      ]);
    },
  );
});
