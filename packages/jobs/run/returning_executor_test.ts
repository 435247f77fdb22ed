import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import { longestLeaseMs, OWNERSHIP_GRACE_MS } from "../owned/owner_state.ts";

const LATER_JOB_ID = "00000000000000b2";

/** Time that `startOwner` waits for a new owner. */
const TAKEOVER_MS = 50;

/** Longest lease of the executors of the fixture. */
const MAX_LEASE_MS = 6_000;

describe("an executor that comes back to the list", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

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

  // Guards against two runs of a task, as the list goes back to an entry of the
  // earlier process that was written late (TWICE).
  test("goes on with its runs if the list shows its earlier process", async () => {
    fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    const earlierReport = fixture.reports.get("e1")!;
    const executor = fixture.addExecutor("e1", { startedAtMs: 2 });
    const report = fixture.reports.get("e1")!;
    owner.refresh();
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(1_500);
    expect(executor.running.size).toBe(1);
    const other = fixture.addExecutor("e2");
    fixture.reports.set("e1", earlierReport);
    owner.refresh();
    await advanceTime(1_500);
    fixture.reports.set("e1", report);
    owner.refresh();
    await advanceTime(1_500);
    expect(executor.starts.length + other.starts.length).toBe(1);
  });

  // Guards against the same where the earlier process was before its owner.
  test("goes on with its runs if the next owner sees that first", async () => {
    const earlierReport = createReport("e1", { startedAtMs: 1 });
    const executor = fixture.addExecutor("e1", { startedAtMs: 2 });
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    first.close();
    const next = await fixture.startOwner(2);
    const other = fixture.addExecutor("e2");
    fixture.reports.set("e1", earlierReport);
    next.refresh();
    await advanceTime(1_500);
    expect(executor.starts.length + other.starts.length).toBe(1);
  });

  // Guards against a restart that is ignored, as the time of day was set back.
  test("is replaced if its next process seems to be an earlier one", async () => {
    fixture.addExecutor("e1", { startedAtMs: 2 });
    const owner = await fixture.startOwner(1);
    const restarted = fixture.addExecutor("e1", { startedAtMs: 1 });
    owner.refresh();
    await advanceTime(100);
    owner.refresh();
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(500);
    expect(restarted.running.size).toBe(1);
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

  /**
   * Lets a start get no answer and its executor confirm the stop, so that the
   * task runs on `e2`.
   */
  async function giveUpStart() {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(100);
    const other = fixture.addExecutor("e2");
    fixture.reports.set("e1", createReport("e1", { isDraining: true }));
    owner.refresh();
    executor.fault = undefined;
    await advanceTime(2_000);
    expect(executor.starts).toEqual([]);
    expect(other.starts).toHaveLength(1);
    return { executor, other, owner };
  }

  // Guards against two runs of a task, as the start reaches the next process,
  // which knows nothing of the stop (TWICE).
  test("refuses a late start that its earlier process was to stop", async () => {
    const { executor, owner } = await giveUpStart();
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    owner.refresh();
    await advanceTime(100);
    executor.deliverDelayed(restarted);
    expect(restarted.starts).toEqual([]);
  });

  // Guards against the same if the list does not show it for a moment (TWICE).
  test("refuses such a start after a gap in the list", async () => {
    const { executor, owner } = await giveUpStart();
    fixture.reports.delete("e1");
    owner.refresh();
    await advanceTime(1_000);
    expect(owner.executors.has("e1")).toBe(false);
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    owner.refresh();
    await advanceTime(100);
    executor.deliverDelayed(restarted);
    expect(restarted.starts).toEqual([]);
  });

  // Guards against the same if an answer shows the restart before the list.
  test("refuses such a start once a poll shows the restart", async () => {
    const { executor, owner } = await giveUpStart();
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    fixture.reports.set("e1", createReport("e1"));
    owner.refresh();
    fixture.accept(LATER_JOB_ID, [createStep({ count: 30, isLasting: true })]);
    await advanceTime(1_500);
    expect(restarted.starts).not.toEqual([]);
    executor.deliverDelayed(restarted);
    expect(restarted.starts.filter(({ task }) => task.startsWith(JOB_ID)))
      .toEqual([]);
  });

  // Guards against the same where nothing else runs and the list lags (TWICE).
  test("refuses such a start before the list shows the restart", async () => {
    const { executor, owner } = await giveUpStart();
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    fixture.reports.set("e1", createReport("e1", { isDraining: true }));
    owner.refresh();
    await advanceTime(1_500);
    executor.deliverDelayed(restarted);
    expect(restarted.starts).toEqual([]);
  });

  // Guards against the same if the executor was silent until its lease had
  // expired, so that no stop was confirmed (TWICE).
  test("refuses a late start that was lost with its lease", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(100);
    const { poll } = fixture.executors;
    fixture.executors.poll = (target, request) =>
      target.id === "e1"
        ? Promise.resolve({ type: "unknown", reason: "no answer" })
        : poll(target, request);
    const other = fixture.addExecutor("e2");
    owner.refresh();
    await advanceTime(6_000);
    expect(other.starts).toHaveLength(1);
    fixture.executors.poll = poll;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.clockOffsetMs = 0;
    owner.refresh();
    await advanceTime(100);
    executor.deliverDelayed(restarted);
    expect(restarted.starts).toEqual([]);
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

  /**
   * Starts an owner whose list shows an older process of `e1` than the one on
   * which its predecessor ran a task; `e2` is idle.
   */
  async function takeOverWithOutdatedList() {
    const executor = fixture.addExecutor("e1", { startedAtMs: 2 });
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(500);
    expect(executor.running.size).toBe(1);
    first.close();
    executor.end(`${JOB_ID}.0.0.0`, "done");
    executor.fault = "unreachable";
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 1 }));
    const other = fixture.addExecutor("e2");
    const owner = await fixture.startOwner(2);
    return { executor, other, owner };
  }

  // Guards against a task that is started again after it was done, as the list
  // shows the process that ran it before that process answers (TWICE).
  test("starts no task again that the process on a later list did", async () => {
    const { executor, other, owner } = await takeOverWithOutdatedList();
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(1_000);
    expect(other.starts).toEqual([]);
    executor.fault = undefined;
    await advanceTime(1_000);
    expect(await owner.getJobState(JOB_ID))
      .toEqual({ type: "known", value: "completed" });
    expect(other.starts).toEqual([]);
    expect(executor.starts).toHaveLength(1);
  });

  // Guards against tasks that wait longer than the leases of earlier owners.
  test("blocks tasks until earlier leases expire if none answers", async () => {
    const { other, owner } = await takeOverWithOutdatedList();
    const sinceMs = performance.now() - TAKEOVER_MS;
    const expiredMs = sinceMs + OWNERSHIP_GRACE_MS +
      longestLeaseMs(MAX_LEASE_MS);
    await advanceTime(6_000);
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(expiredMs - performance.now() - 1);
    expect(other.starts).toEqual([]);
    await advanceTime(500);
    expect(other.starts).toHaveLength(1);
  });

  // Guards against the same wait for a process that runs none of these tasks.
  test("blocks no task if its next process serves another service", async () => {
    const { other, owner } = await takeOverWithOutdatedList();
    fixture.reports.set(
      "e1",
      createReport("e1", { startedAtMs: 3, service: "backoffice" }),
    );
    owner.refresh();
    await advanceTime(500);
    expect(other.starts).toHaveLength(1);
  });

  // Guards against an executor with capacity that gets no tasks any more, as it
  // left the list for a moment before its new process had answered (LOST).
  test("gets tasks after a restart and a gap in the list", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "unreachable";
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(100);
    const { poll } = fixture.executors;
    fixture.executors.poll = async (target, request) => {
      await new Promise((resolve) => setTimeout(resolve, 500));
      return poll(target, request);
    };
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    owner.refresh();
    await advanceTime(50);
    fixture.reports.delete("e1");
    owner.refresh();
    await advanceTime(200);
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    fixture.executors.poll = poll;
    for (let second = 0; second < 20; second++) {
      owner.refresh();
      await advanceTime(1_000);
    }
    expect([...restarted.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
  });

  // Guards against two runs of a task, as a start that got no answer reaches
  // the restarted process, which its owner could not reach at first (TWICE).
  test("blocks a task that may start late while it is silent", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    const { poll } = fixture.executors;
    fixture.executors.poll = (target, request) =>
      target.id === "e1"
        ? Promise.resolve({ type: "unknown", reason: "no answer" })
        : poll(target, request);
    executor.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(100);
    const other = fixture.addExecutor("e2");
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    owner.refresh();
    await advanceTime(4_000);
    executor.deliverDelayed(restarted);
    expect(restarted.running.size + other.running.size).toBe(1);
  });
});
