import { describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createMachine,
  createReport,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import { MAX_LATENESS_MS } from "./_executor_clock.ts";

/** Longest lease of the executors of the fixture. */
const MAX_LEASE_MS = 6_000;

/** Longest lease that an owner of the fixture grants, with its margin. */
const OWN_LEASE_MS = 4_800;

/** Time from the end of a lease until its task has certainly started again. */
const RESTART_MS = 1_500;

const TASK = `${JOB_ID}.0.0.0`;

describe("the longest lease that the platform grants", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /** Returns the time for which the lease of an executor is still valid. */
  const leaseMsOf = ({ leaseExpiryMs, clockOffsetMs }: MemoryExecutor) =>
    leaseExpiryMs - clockOffsetMs - performance.now();

  /** Restarts an executor, whose clock starts anew as well. */
  function restart(id: string, { isListed }: { isListed: boolean }) {
    const earlier = fixture.reports.get(id)!;
    const restarted = fixture.addExecutor(id, { startedAtMs: 2 });
    restarted.clockOffsetMs = 0;
    if (!isListed) fixture.reports.set(id, earlier);
    return restarted;
  }

  /** Expects that a task starts elsewhere once its lease has expired. */
  async function expectWait(
    owner: PartitionOwner,
    used: MemoryExecutor,
  ) {
    expect(used.running.has(TASK)).toBe(true);
    const other = fixture.addExecutor("e2");
    owner.refresh();
    used.fault = "unreachable";
    await advanceTime(leaseMsOf(used));
    expect(other.starts).toEqual([]);
    await advanceTime(RESTART_MS);
    expect(other.starts).toHaveLength(1);
  }

  // Guards against two runs of a task (TWICE), as an earlier owner had granted
  // a lease by the clock of the executor's earlier process.
  test("is awaited where an earlier owner has caused it", async () => {
    fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    const restarted = restart("e1", { isListed: false });
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(20);
    first.close();
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    const owner = await fixture.startOwner(2);
    await expectWait(owner, restarted);
  });

  /** Has the next process of an executor carry out a renewal late. */
  async function renewLate() {
    const earlier = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    const { poll } = fixture.executors;
    let renew: (() => Promise<unknown>) | undefined;
    fixture.executors.poll = (target, request) => {
      if (request.leaseExpiryMs !== undefined) {
        renew = () => poll(target, { ...request, waitMs: 0 });
      }
      return poll(target, request);
    };
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(3_000);
    earlier.fault = "unreachable";
    await advanceTime(1_500);
    fixture.executors.poll = poll;
    const restarted = restart("e1", { isListed: true });
    owner.refresh();
    await advanceTime(500);
    expect(restarted.running.has(TASK)).toBe(true);
    await renew!();
    return { owner, restarted };
  }

  // Guards against the same by a renewal that was meant for the earlier process
  // and is carried out late.
  test("is awaited after a late renewal", async () => {
    const { owner, restarted } = await renewLate();
    expect(leaseMsOf(restarted)).toBe(MAX_LEASE_MS);
    const other = fixture.addExecutor("e2");
    owner.refresh();
    restarted.fault = "unreachable";
    await advanceTime(MAX_LEASE_MS);
    expect(other.starts).toEqual([]);
  });

  // Guards against tasks of a silent executor that wait for ever (LOST).
  test("is awaited no longer than a late call may take", async () => {
    const { owner, restarted } = await renewLate();
    const other = fixture.addExecutor("e2");
    owner.refresh();
    restarted.fault = "unreachable";
    await advanceTime(MAX_LATENESS_MS + MAX_LEASE_MS);
    expect(other.starts).toHaveLength(1);
  });

  // Guards against the same by a renewal that the next process answers.
  test("is awaited after a renewal that shows the restart", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(3_000);
    // The owner polls at intervals while an end is not stored.
    fixture.store.fault = "silent";
    executor.end(`${NEXT_JOB_ID}.0.0.0`, "done");
    await advanceTime(100);
    const restarted = restart("e1", { isListed: false });
    await advanceTime(300);
    expect(leaseMsOf(restarted)).toBeGreaterThan(MAX_LEASE_MS - 300);
    fixture.store.fault = undefined;
    fixture.reports.set("e1", createReport("e1", { startedAtMs: 2 }));
    owner.refresh();
    await advanceTime(500);
    await expectWait(owner, restarted);
  });

  // Guards against a lasting task that waits for such a lease although its
  // executor has ended for good (LOST).
  test("is not awaited once no machine has the executor", async () => {
    const { owner, restarted } = await renewLate();
    fixture.machines = [createMachine("e2")];
    const other = fixture.addExecutor("e2");
    owner.refresh();
    restarted.fault = "unreachable";
    await advanceTime(OWN_LEASE_MS + RESTART_MS);
    expect(other.starts).toHaveLength(1);
  });
});
