import { describe, expect, jest, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";

/** Time without runs and polls in which an executor restarts. */
const IDLE_MS = 2_000;

/** Longest lease of the executors of the fixture. */
const MAX_LEASE_MS = 6_000;

/** Time that an executor takes to answer a poll. */
const ANSWER_MS = 100;

const TASK = `${JOB_ID}.0.0.0`;

describe("an executor that has restarted while it was idle", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /** Restarts an idle executor before the list shows its next process. */
  async function restartUnlisted(idleMs = IDLE_MS) {
    const listed = fixture.addExecutor("e1", { labels: ["small"] }).report;
    const owner = await fixture.startOwner(1);
    await advanceTime(idleMs);
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.clockOffsetMs = 0;
    fixture.reports.set("e1", listed);
    return { owner, restarted };
  }

  /** Adds another executor with the same label, which the owner knows. */
  function addOther(owner: PartitionOwner) {
    const other = fixture.addExecutor("e2", { labels: ["small"] });
    owner.refresh();
    return other;
  }

  // Guards against tasks on an executor that lacks the required label since its
  // restart (ROUTE).
  test("gets no task by what its earlier process was", async () => {
    const { owner, restarted } = await restartUnlisted();
    fixture.accept(JOB_ID, [createStep({ count: 1, label: "small" })]);
    await advanceTime(50);
    const other = addOther(owner);
    await advanceTime(1_000);
    expect(restarted.starts).toEqual([]);
    expect([...other.running.keys()]).toEqual([TASK]);
  });

  // Guards against two runs of a task (TWICE), as a start by the clock of the
  // earlier process gets the longest lease and no answer.
  test("runs no task that its owner gives up before its lease", async () => {
    const { owner, restarted } = await restartUnlisted();
    restarted.fault = "losingAnswers";
    const { poll } = fixture.executors;
    fixture.executors.poll = async (target, request) => {
      await poll(target, request);
      return { type: "unknown", reason: "no answer" };
    };
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    restarted.fault = "unreachable";
    fixture.executors.poll = poll;
    const other = addOther(owner);
    await advanceTime(MAX_LEASE_MS - 100);
    expect(restarted.running.size + other.running.size).toBe(1);
  });

  // Guards against tasks that wait for the lease of a silent executor on which
  // nothing was started.
  test("lets a task start elsewhere as it does not answer", async () => {
    const { owner, restarted } = await restartUnlisted();
    restarted.fault = "unreachable";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    const other = addOther(owner);
    await advanceTime(1_000);
    expect([...other.running.keys()]).toEqual([TASK]);
  });

  // Guards against tasks that wait for a second check where several are placed
  // at once, and against the price of it.
  test("is checked once for all tasks that are placed there", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    await advanceTime(IDLE_MS);
    const { poll } = fixture.executors;
    let pollCount = 0;
    fixture.executors.poll = async (target, request) => {
      pollCount++;
      await new Promise((done) => setTimeout(done, ANSWER_MS));
      return poll(target, request);
    };
    fixture.accept(JOB_ID, [createStep({ count: 4 })]);
    await advanceTime(ANSWER_MS + 50);
    expect(executor.starts).toHaveLength(4);
    // The other one waits for the ends of the runs.
    expect(pollCount).toBe(2);
  });

  // Guards against the same after a suspension of the owner's machine, which
  // the monotonic clock does not count (ROUTE).
  test("gets no task by an answer from before a suspension", async () => {
    const { owner, restarted } = await restartUnlisted(50);
    jest.setSystemTime(Date.now() + IDLE_MS);
    fixture.accept(JOB_ID, [createStep({ count: 1, label: "small" })]);
    await advanceTime(50);
    const other = addOther(owner);
    await advanceTime(1_000);
    expect(restarted.starts).toEqual([]);
    expect([...other.running.keys()]).toEqual([TASK]);
  });
});
