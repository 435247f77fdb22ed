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

describe("an executor that comes back to the list", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnerFixture();
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });

  // Guards against a lasting task that counts as running for good (LOST).
  test("runs a task whose start was lost before it left the list", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "unreachable";
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(1_000);
    expect(fixture.logged.some((line) => line.startsWith("taskPlaced")))
      .toBe(true);
    fixture.reports.delete("e1");
    owner.refresh();
    await advanceTime(500);
    executor.fault = undefined;
    fixture.reports.set("e1", createReport("e1"));
    owner.refresh();
    await advanceTime(10_000);
    expect([...executor.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
  });

  // Guards against two runs of a task, as a start that got no answer reaches
  // the restarted process, which knows of neither its token nor a stop (TWICE).
  test("refuses a late start that was sent before it restarted", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(100);
    const restarted = fixture.addExecutor("e1", {
      startedAtMs: 2,
      isDraining: true,
    });
    const other = fixture.addExecutor("e2");
    owner.refresh();
    await advanceTime(2_000);
    executor.deliverDelayed(restarted);
    await advanceTime(2_000);
    expect(restarted.starts.length + other.starts.length).toBe(1);
    expect(restarted.running.size + other.running.size).toBe(1);
  });

  // Guards against tasks on an executor that serves another service since its
  // restart (ROUTE).
  test("gets no tasks after a restart into another service", async () => {
    fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    const restarted = fixture.addExecutor("e1", {
      startedAtMs: 2,
      service: "backoffice",
    });
    owner.refresh();
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(1_000);
    expect(restarted.starts).toEqual([]);
    expect(owner.executors.size).toBe(0);
  });

  // Guards against the same while the platform's list does not show the restart
  // yet, which the executor's answer does.
  test("keeps a task that may start late until the list shows it", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(100);
    const other = fixture.addExecutor("e2");
    const oldReport = fixture.reports.get("e1")!;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.fault = "delayed";
    fixture.reports.set("e1", oldReport);
    owner.refresh();
    await advanceTime(2_000);
    expect(other.starts).toEqual([]);
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    restarted.fault = undefined;
    owner.refresh();
    await advanceTime(1_000);
    executor.deliverDelayed(restarted);
    await advanceTime(1_000);
    expect(restarted.starts.length + other.starts.length).toBe(1);
  });
});
