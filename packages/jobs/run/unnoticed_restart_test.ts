import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { Step } from "../submission.ts";
import { MAX_LATENESS_MS } from "./_executor_clock.ts";

const EARLIER_JOB_ID = "00000000000000b2";
const LATER_JOB_ID = "00000000000000c3";

/** Longest lease of the executors of the fixture. */
const MAX_LEASE_MS = 6_000;

describe("an executor that has restarted unnoticed", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /** Lets a process start a task before its owner notices that it is new. */
  async function startUnnoticed({ step = { isLasting: true }, clockOffsetMs }: {
    step?: Partial<Step>;
    /** Clock of the new process, if it differs from that of the earlier one. */
    clockOffsetMs?: number;
  } = {}) {
    fixture.addExecutor("e1");
    const other = fixture.addExecutor("e2", {
      capacity: { cpu: 20_000, memoryMb: 32_768, accelerators: 0 },
    });
    const owner = await fixture.startOwner(1);
    const oldReport = fixture.reports.get("e1")!;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.clockOffsetMs = clockOffsetMs ?? restarted.clockOffsetMs;
    fixture.reports.set("e1", oldReport);
    fixture.accept(JOB_ID, [createStep({ count: 1, ...step })]);
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
  // (TWICE), also after a late renewal, and against a longer wait (LOST).
  test("keeps such a run until its lease has certainly expired", async () => {
    const { owner, other, restarted } = await startUnnoticed();
    restarted.fault = "unreachable";
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(MAX_LATENESS_MS + MAX_LEASE_MS - 100);
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

  // Guards against two runs of a task, as a clock that starts anew prolongs the
  // lease (TWICE).
  test("keeps such a run for the longest lease if its clock fell", async () => {
    const { other, restarted } = await startUnnoticed({ clockOffsetMs: 0 });
    restarted.fault = "unreachable";
    await advanceTime(MAX_LEASE_MS);
    expect(other.starts).toEqual([]);
    await advanceTime(1_500);
    expect(other.starts).toHaveLength(1);
  });

  // Guards against the same where the answer to the start is lost, so that
  // neither a clock nor the list shows the restart (TWICE).
  test("keeps a run for the longest lease if its start has no answer", async () => {
    fixture.addExecutor("e1");
    const other = fixture.addExecutor("e2", {
      capacity: { cpu: 20_000, memoryMb: 32_768, accelerators: 0 },
    });
    await fixture.startOwner(1);
    const oldReport = fixture.reports.get("e1")!;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.clockOffsetMs = 0;
    restarted.fault = "losingAnswers";
    fixture.reports.set("e1", oldReport);
    const { poll } = fixture.executors;
    fixture.executors.poll = (target, request) =>
      target.id === "e1"
        ? Promise.resolve({ type: "unknown", reason: "no answer" })
        : poll(target, request);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(50);
    expect(restarted.starts).toHaveLength(1);
    restarted.fault = "unreachable";
    while (performance.now() <= restarted.leaseExpiryMs) {
      expect(other.starts).toEqual([]);
      await advanceTime(50);
    }
  });

  /** Has an executor run a task whose end is acknowledged as number 1. */
  async function acknowledgeFirstEnd() {
    const earlier = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(EARLIER_JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    earlier.end(`${EARLIER_JOB_ID}.0.0.0`, "done");
    // A start soon after the answer needs no check of the process.
    while (earlier.ends.length > 0) await advanceTime(10);
    return owner;
  }

  // Guards against a poll that acknowledges ends of the new process by their
  // numbers on the earlier one, so that a task runs again (TWICE).
  test("acknowledges no end that only its new process has", async () => {
    const owner = await acknowledgeFirstEnd();
    const oldReport = fixture.reports.get("e1")!;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.clockOffsetMs = 0;
    fixture.reports.set("e1", oldReport);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    restarted.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(1_500);
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(1_000);
    expect(restarted.starts).toHaveLength(1);
    expect(await owner.getJobState(JOB_ID))
      .toEqual({ type: "known", value: "completed" });
  });

  // Guards against the same where no clock shows the restart of an idle
  // executor before its new process has ended a task (TWICE).
  test("acknowledges no end whose number an earlier process used", async () => {
    const owner = await acknowledgeFirstEnd();
    const oldReport = fixture.reports.get("e1")!;
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    fixture.reports.set("e1", oldReport);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    restarted.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(1_500);
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(1_000);
    expect(restarted.starts).toHaveLength(1);
    expect(await owner.getJobState(JOB_ID))
      .toEqual({ type: "known", value: "completed" });
  });

  // Guards against the same for a poll without an answer that the new process
  // carries out late (TWICE).
  test("forgets no end for a late poll of before its restart", async () => {
    const owner = await acknowledgeFirstEnd();
    const { poll } = fixture.executors;
    const latePolls: (() => unknown)[] = [];
    fixture.executors.poll = (target, request) => {
      latePolls.push(() => poll(target, request));
      return Promise.resolve({ type: "unknown", reason: "no answer" });
    };
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(50);
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    owner.refresh();
    fixture.executors.poll = poll;
    fixture.accept(LATER_JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(500);
    restarted.end(`${LATER_JOB_ID}.0.0.0`, "done");
    latePolls[0]!();
    await advanceTime(1_000);
    expect(await owner.getJobState(LATER_JOB_ID))
      .toEqual({ type: "known", value: "completed" });
    expect(restarted.starts.filter(({ task }) => task.startsWith(LATER_JOB_ID)))
      .toHaveLength(1);
  });

  // Guards against an end that stays at an executor without runs, as the poll
  // that was to acknowledge it got no answer.
  test("is told again of a stored end after a lost poll", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    const { poll } = fixture.executors;
    fixture.executors.poll = (target, request) =>
      request.acknowledgedSequence > 0
        ? Promise.resolve({ type: "unknown", reason: "no answer" })
        : poll(target, request);
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(1_000);
    expect(executor.ends).toHaveLength(1);
    fixture.executors.poll = poll;
    await advanceTime(1_000);
    expect(executor.ends).toEqual([]);
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
