import { beforeEach, describe, expect, test } from "@jest/globals";
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

/** Interval of the owner's regular checks, and some more. */
const CHECK_MS = 300;

/** Time after a takeover from which lasting tasks are drained. */
const SETTLED_MS = 1_600;

/** Creates a step of a task that takes most of an executor. */
function createLargeStep(isLasting: boolean) {
  const size = { cpu: 12_000, memoryMb: 500, accelerators: 0 };
  return createStep({ count: 1, size, isLasting, maxAway: 1 });
}

describe("a partition that services share", () => {
  let fixture: OwnerFixture;
  let quoting: MemoryExecutor;
  let orders: MemoryExecutor;

  setUpOwners((created) => fixture = created);

  beforeEach(() => {
    fixture.services = ["quoting", "orders"];
    quoting = fixture.addExecutor("e1");
    orders = fixture.addExecutor("e2", { service: "orders" });
  });

  // Guards against starts on an executor of a service to which no configuration
  // sends the queue (ROUTE), as review/9 shows.
  test("has each job run on the executors of its service", async () => {
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 20 })]);
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 3 })], "orders");
    await advanceTime(CHECK_MS);
    const jobsOf = ({ starts }: MemoryExecutor) =>
      new Set(starts.map(({ task }) => task.split(".")[0]));
    expect(jobsOf(quoting)).toEqual(new Set([JOB_ID]));
    expect(jobsOf(orders)).toEqual(new Set([NEXT_JOB_ID]));
    expect(orders.running.size).toBe(3);
  });

  // Guards against a job that goes on at another service under the next owner
  // (ROUTE), as a late append has replaced its record.
  test("keeps the service of a job whose newest record names another", async () => {
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 2 })], "orders");
    await advanceTime(CHECK_MS);
    fixture.accept(JOB_ID, [createStep({ count: 2 })]);
    await advanceTime(CHECK_MS);
    await first.release(1_000);
    await fixture.startOwner(2);
    for (const task of orders.running.keys()) orders.end(task, "failed");
    await advanceTime(CHECK_MS);
    expect(orders.starts).toHaveLength(4);
    expect(quoting.starts).toEqual([]);
  });

  // Guards against the same after a takeover, whose runs are adopted.
  test("keeps the service of a job under the next owner", async () => {
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 2 })], "orders");
    await advanceTime(CHECK_MS);
    await first.release(1_000);
    await fixture.startOwner(2);
    for (const task of orders.running.keys()) orders.end(task, "failed");
    await advanceTime(CHECK_MS);
    expect(quoting.starts).toEqual([]);
    expect(orders.running.size).toBe(2);
  });

  // Guards against a task that is stopped for a place at another service, where
  // it can't start (AVAIL).
  test("stops no lasting task for a place at another service", async () => {
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createLargeStep(true)]);
    await advanceTime(SETTLED_MS);
    fixture.reports.set("e1", createReport("e1", { isDraining: true }));
    owner.refresh();
    await advanceTime(CHECK_MS);
    expect(quoting.running.size).toBe(1);
    const spare = fixture.addExecutor("e3");
    owner.refresh();
    await advanceTime(CHECK_MS);
    expect(spare.running.size).toBe(1);
  });

  // Guards against a machine that is kept for a task of another service.
  test("reports an executor that no task of its service is to get", async () => {
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createLargeStep(false)]);
    await advanceTime(CHECK_MS);
    fixture.accept(NEXT_JOB_ID, [createLargeStep(true)]);
    await advanceTime(CHECK_MS);
    const { idle, demand } = owner.reserveAndReport(new Set(), []);
    expect(idle).toEqual(["e2"]);
    expect(demand).toMatchObject([{ service: "quoting", waitingCpu: 12_000 }]);
  });

  // Guards against a service that loses most of its executors to suspensions,
  // as those of others were counted.
  test("suspends at most a third of a service's executors", async () => {
    for (const id of ["e3", "e4", "e5", "e6"]) {
      fixture.addExecutor(id, { service: "orders" });
    }
    await fixture.startOwner(1);
    for (let index = 1; index <= 4; index++) {
      fixture.accept(`00000000000000c${index}`, [createStep({ count: 1 })]);
      await advanceTime(CHECK_MS);
      for (const task of quoting.running.keys()) quoting.end(task, "failed");
      await advanceTime(CHECK_MS);
    }
    expect(fixture.logged.filter((it) => it.startsWith("executorSuspended")))
      .toEqual([]);
  });

  // Guards against a log that calls an executor of another service usable.
  test("tells what the executors of a waiting task's service lack", async () => {
    fixture.addExecutor("e3");
    const owner = await fixture.startOwner(1);
    owner.reserveAndReport(new Set(["e1", "e3"]), []);
    fixture.accept(JOB_ID, [createLargeStep(true)]);
    await advanceTime(2_900);
    expect(fixture.logged.find((it) => it.startsWith("taskWaiting")))
      .toContain("2 executors: 2 reserved");
  });
});
