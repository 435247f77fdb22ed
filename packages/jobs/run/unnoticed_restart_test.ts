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

/** Longest lease of the executors of the fixture. */
const MAX_LEASE_MS = 6_000;

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

  /** Lets a process start a task before its owner notices that it is new. */
  async function startUnnoticed() {
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
    return { owner, other, restarted };
  }

  // Guards against two runs of a task that the new process started before an
  // answer or the platform's list showed the restart (TWICE).
  test("keeps a run that started after its restart", async () => {
    const { owner, other, restarted } = await startUnnoticed();
    await advanceTime(1_500);
    expect(other.starts).toEqual([]);
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(3_000);
    expect(other.starts).toEqual([]);
    expect([...restarted.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
  });

  // Guards against two runs of such a task while its executor is cut off
  // (TWICE), and against a task that waits for longer than any lease (LOST).
  test("keeps such a run until its lease has certainly expired", async () => {
    const { owner, other, restarted } = await startUnnoticed();
    restarted.fault = "unreachable";
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(MAX_LEASE_MS);
    expect(other.starts).toEqual([]);
    await advanceTime(1_500);
    expect(other.starts).toHaveLength(1);
  });

  // Guards against the same where an answer shows the restart, and the process
  // leaves the platform's list before that does.
  test("keeps such a run if it leaves the list", async () => {
    const { owner, other, restarted } = await startUnnoticed();
    await advanceTime(1_500);
    restarted.fault = "unreachable";
    fixture.reports.delete("e1");
    owner.refresh();
    await advanceTime(MAX_LEASE_MS - 1_500);
    expect(other.starts).toEqual([]);
    await advanceTime(3_000);
    expect(other.starts).toHaveLength(1);
  });

  // Guards against a sound task that is taken for one that crashes executors.
  test("does not suspect a task that started after its restart", async () => {
    const { owner, restarted } = await startUnnoticed();
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(1_000);
    restarted.end(`${JOB_ID}.0.0.0`, "failed");
    await advanceTime(1_000);
    expect(fixture.logged.filter((line) => /^taskSuspected/.test(line)))
      .toEqual([]);
  });

  // Guards against two runs of a task whose start reaches the new process late,
  // as that process does not know of the confirmed stop (TWICE).
  test("stops a run again that its earlier process was to stop", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(100);
    const { poll } = fixture.executors;
    fixture.executors.poll = () =>
      Promise.resolve({ type: "unknown", reason: "no answer" });
    executor.fault = undefined;
    await advanceTime(500);
    fixture.executors.poll = poll;
    const restarted = fixture.addExecutor("e1", {
      startedAtMs: 2,
      isDraining: true,
    });
    const other = fixture.addExecutor("e2");
    owner.refresh();
    await advanceTime(500);
    executor.deliverDelayed(restarted);
    await advanceTime(2_000);
    expect(restarted.starts.length + other.starts.length).toBe(1);
  });

  // Guards against two runs of a task, as the next owner's first list is from
  // before the restart and a newer one arrives before an answer (TWICE).
  test("blocks its tasks until its new process answers", async () => {
    const { owner: first, other, restarted } = await startUnnoticed();
    first.close();
    const next = await fixture.startOwner(2);
    restarted.fault = "unreachable";
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    next.refresh();
    await advanceTime(500);
    expect(other.starts).toEqual([]);
  });
});
