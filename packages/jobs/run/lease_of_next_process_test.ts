import { describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import { MAX_LATENESS_MS } from "./_executor_clock.ts";

const NEXT_TASK = `${NEXT_JOB_ID}.0.0.0`;

/** Longest lease of the executors of the fixture. */
const MAX_LEASE_MS = 6_000;

describe("the lease at the next process of an executor", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /** Starts an owner whose executor `e1` runs a task. */
  async function startTask(): Promise<PartitionOwner> {
    fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    return owner;
  }

  /** Restarts `e1` under its id, with a clock that starts anew. */
  function restart(): MemoryExecutor {
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.clockOffsetMs = 0;
    return restarted;
  }

  /** Restarts `e1` before a poll that renews the lease and before the list. */
  async function restartBeforePoll(): Promise<MemoryExecutor> {
    const oldReport = fixture.reports.get("e1")!;
    const restarted = restart();
    fixture.reports.set("e1", oldReport);
    await advanceTime(600);
    expect(restarted.leaseExpiryMs).toBeGreaterThan(performance.now());
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    return restarted;
  }

  /** Lets the new process of `e1` start another task. */
  async function startNextTask(restarted: MemoryExecutor): Promise<void> {
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(200);
    expect([...restarted.running.keys()]).toContain(NEXT_TASK);
  }

  /** Cuts `e1` off, and expects that its tasks run elsewhere only later. */
  async function expectStartsAfterLease(
    restarted: MemoryExecutor,
    owner: PartitionOwner,
  ): Promise<void> {
    restarted.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    owner.refresh();
    while (performance.now() <= restarted.leaseExpiryMs) {
      expect(other.starts).toEqual([]);
      await advanceTime(50);
    }
    await advanceTime(MAX_LATENESS_MS + MAX_LEASE_MS);
    expect(other.starts).toHaveLength(2);
  }

  // Guards against two runs of a task, as a poll that renewed the lease by the
  // clock of the earlier process gave the next one the longest lease (TWICE).
  test("is as long as a poll for the earlier process made it", async () => {
    const owner = await startTask();
    const restarted = await restartBeforePoll();
    owner.refresh();
    await startNextTask(restarted);
    await expectStartsAfterLease(restarted, owner);
  });

  // Guards against the same where the next process carries out a poll without
  // an answer late, as it runs tasks already (TWICE).
  test("is as long as a late poll for the earlier one made it", async () => {
    const owner = await startTask();
    const { poll } = fixture.executors;
    const latePolls: (() => unknown)[] = [];
    fixture.executors.poll = (target, request) => {
      latePolls.push(() => poll(target, request));
      return Promise.resolve({ type: "unknown", reason: "no answer" });
    };
    await advanceTime(1_000);
    const restarted = restart();
    fixture.executors.poll = poll;
    owner.refresh();
    await startNextTask(restarted);
    latePolls[0]!();
    await expectStartsAfterLease(restarted, owner);
  });

  // Guards against the same where a new owner adopts the run (TWICE).
  test("is as long for a run that the next owner adopts", async () => {
    const owner = await startTask();
    const restarted = await restartBeforePoll();
    owner.refresh();
    await startNextTask(restarted);
    owner.close();
    const next = await fixture.startOwner(2);
    expect(fixture.logged.filter((line) => line.startsWith("runAdopted")))
      .not.toEqual([]);
    await expectStartsAfterLease(restarted, next);
  });
});
