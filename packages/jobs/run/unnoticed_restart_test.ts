import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import {
  advanceTime,
  createOwnerFixture,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
} from "../_fixtures.ts";

describe("an executor that has restarted unnoticed", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnerFixture();
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });

  // Guards against two runs of a task that the new process started before an
  // answer or the platform's list showed the restart (TWICE).
  test("keeps a run that started after its restart", async () => {
    fixture.addExecutor("e1");
    const other = fixture.addExecutor("e2", {
      capacity: { cpu: 20_000, memoryMb: 32_768, accelerators: 0 },
    });
    const owner = await fixture.startOwner(1);
    const oldReport = fixture.reports.get("e1")!;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    fixture.reports.set("e1", oldReport);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(50);
    expect(restarted.starts).toHaveLength(1);
    await advanceTime(1_500);
    expect(other.starts).toEqual([]);
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(3_000);
    expect(other.starts).toEqual([]);
    expect([...restarted.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
  });

  // Guards against two runs of a task, as the next owner's first list is from
  // before the restart and a newer one arrives before an answer (TWICE).
  test("blocks its tasks until its new process answers", async () => {
    fixture.addExecutor("e1");
    const other = fixture.addExecutor("e2", {
      capacity: { cpu: 20_000, memoryMb: 32_768, accelerators: 0 },
    });
    const first = await fixture.startOwner(1);
    const oldReport = fixture.reports.get("e1")!;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    fixture.reports.set("e1", oldReport);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(50);
    expect(restarted.starts).toHaveLength(1);
    first.close();
    const next = await fixture.startOwner(2);
    restarted.fault = "unreachable";
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    next.refresh();
    await advanceTime(500);
    expect(other.starts).toEqual([]);
  });
});
