import { describe, expect, test } from "@jest/globals";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import type { Size } from "../submission.ts";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

/** Names a task of the only step of a job. */
const nameTask = (job: string, index: number) => `${job}.0.0.${index}`;

function sizeOf(cpu: number): Size {
  return { cpu, memoryMb: 500, accelerators: 0 };
}

function capacityOf(cpu: number): Size {
  return { cpu, memoryMb: 2 * cpu, accelerators: 0 };
}

describe("an executor whose capacity changes while it runs", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  function setCapacity(owner: PartitionOwner, cpu: number, startedAtMs = 1) {
    const capacity = capacityOf(cpu);
    fixture.reports.set("e1", createReport("e1", { capacity, startedAtMs }));
    owner.refresh();
  }

  function accept(job: string, { count, cpu }: { count: number; cpu: number }) {
    fixture.accept(job, [createStep({ count, size: sizeOf(cpu) })]);
  }

  // Guards against starts beyond a capacity that has shrunk (LIMIT).
  test("gets no task that exceeds the shrunk capacity", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    accept(JOB_ID, { count: 1, cpu: 8_000 });
    await advanceTime(500);
    setCapacity(owner, 10_000);
    accept(NEXT_JOB_ID, { count: 1, cpu: 4_000 });
    await advanceTime(2_000);
    expect([...executor.running.keys()]).toEqual([nameTask(JOB_ID, 0)]);
    executor.end(nameTask(JOB_ID, 0), "done");
    await advanceTime(500);
    expect([...executor.running.keys()]).toEqual([nameTask(NEXT_JOB_ID, 0)]);
  });

  // Guards against starts on an executor that is still over its capacity after
  // some of its runs have ended, and against stopping these runs (LIMIT).
  test("gets tasks again once its runs are below the capacity", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    accept(JOB_ID, { count: 3, cpu: 5_000 });
    await advanceTime(500);
    setCapacity(owner, 8_000);
    accept(NEXT_JOB_ID, { count: 1, cpu: 2_000 });
    await advanceTime(1_000);
    expect(executor.running.size).toBe(3);
    executor.end(nameTask(JOB_ID, 0), "done");
    await advanceTime(1_000);
    expect(executor.running.size).toBe(2);
    executor.end(nameTask(JOB_ID, 1), "done");
    await advanceTime(1_000);
    expect([...executor.running.keys()]).toEqual([
      nameTask(JOB_ID, 2),
      nameTask(NEXT_JOB_ID, 0),
    ]);
  });

  // Guards against capacity that stays unused after it has grown.
  test("gets more tasks once the capacity has grown", async () => {
    const executor = fixture.addExecutor("e1", { capacity: capacityOf(4_000) });
    const owner = await fixture.startOwner(1);
    accept(JOB_ID, { count: 4, cpu: 4_000 });
    await advanceTime(500);
    expect(executor.running.size).toBe(1);
    setCapacity(owner, 16_000);
    await advanceTime(500);
    expect(executor.running.size).toBe(4);
  });

  // Guards against capacity that a start without an answer does not occupy.
  test("counts a start without an answer after it has shrunk", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "losingAnswers";
    accept(JOB_ID, { count: 1, cpu: 6_000 });
    await advanceTime(20);
    setCapacity(owner, 8_000);
    accept(NEXT_JOB_ID, { count: 1, cpu: 4_000 });
    await advanceTime(100);
    executor.fault = undefined;
    await advanceTime(2_000);
    expect([...executor.running.keys()]).toEqual([nameTask(JOB_ID, 0)]);
  });

  /** Lets a run end long after the list of executors was read last. */
  async function endRunWithOldList(enforcesCapacity: boolean) {
    const { services: [service, ...others], ...rest } = fixture.configuration;
    const services = [{ ...service!, enforcesCapacity }, ...others];
    fixture.configuration = { ...rest, services };
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    accept(JOB_ID, { count: 2, cpu: 8_000 });
    await advanceTime(500);
    accept(NEXT_JOB_ID, { count: 1, cpu: 4_000 });
    await advanceTime(500);
    fixture.executorsReadAtMs = performance.now();
    await advanceTime(4_600);
    executor.end(nameTask(JOB_ID, 0), "done");
    await advanceTime(500);
    return executor;
  }

  // Guards against starts beyond a capacity that has shrunk while the list of
  // executors can't be read (LIMIT).
  test("gets no task from an old list", async () => {
    const executor = await endRunWithOldList(false);
    expect([...executor.running.keys()]).toEqual([nameTask(JOB_ID, 1)]);
    // The list has not changed, so that reading it reports no change.
    fixture.executorsReadAtMs = "now";
    await advanceTime(1_500);
    expect([...executor.running.keys()]).toEqual([
      nameTask(JOB_ID, 1),
      nameTask(NEXT_JOB_ID, 0),
    ]);
  });

  // Guards against tasks that wait for the list without need.
  test("gets tasks from an old list if it guards its capacity", async () => {
    const executor = await endRunWithOldList(true);
    expect([...executor.running.keys()]).toEqual([
      nameTask(JOB_ID, 1),
      nameTask(NEXT_JOB_ID, 0),
    ]);
  });

  // Guards against a start beside a run that is being stopped (LIMIT).
  test("counts a run that is being stopped after it has shrunk", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    accept(JOB_ID, { count: 1, cpu: 6_000 });
    await advanceTime(500);
    executor.fault = "delayed";
    fixture.cancel(JOB_ID);
    setCapacity(owner, 8_000);
    accept(NEXT_JOB_ID, { count: 1, cpu: 4_000 });
    await advanceTime(1_500);
    expect(fixture.logged.filter((line) => line.startsWith("taskPlaced")))
      .toHaveLength(1);
    executor.fault = undefined;
    executor.deliverDelayed();
    await advanceTime(1_500);
    expect([...executor.running.keys()]).toEqual([nameTask(NEXT_JOB_ID, 0)]);
  });

  // Guards against the capacity that an executor had before it left the list.
  test("has its new capacity when it comes back to the list", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    accept(JOB_ID, { count: 1, cpu: 8_000 });
    await advanceTime(500);
    fixture.reports.delete("e1");
    owner.refresh();
    await advanceTime(500);
    setCapacity(owner, 10_000);
    accept(NEXT_JOB_ID, { count: 1, cpu: 4_000 });
    await advanceTime(2_000);
    expect([...executor.running.keys()]).toEqual([nameTask(JOB_ID, 0)]);
  });

  // Guards against the capacity of the process before the restart.
  test("has the capacity of its new process after a restart", async () => {
    fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    const restarted = fixture.addExecutor("e1", {
      startedAtMs: 2,
      capacity: capacityOf(6_000),
    });
    owner.refresh();
    accept(JOB_ID, { count: 3, cpu: 3_000 });
    await advanceTime(1_000);
    expect(restarted.running.size).toBe(2);
    setCapacity(owner, 9_000, 2);
    await advanceTime(1_000);
    expect(restarted.running.size).toBe(3);
  });

  // Guards against a start beside a run of unknown size that began before the
  // capacity shrank (LIMIT).
  test("stays occupied by a run of an unknown job if it grows", async () => {
    const executor = fixture.addExecutor("e1", { capacity: capacityOf(8_000) });
    executor.fault = "delayed";
    executor.leaseExpiryMs = Infinity;
    executor.running.set(nameTask("00000000000000c3", 0), {
      run: 1,
      checkpoint: "",
      startedAtMs: 0,
    });
    const owner = await fixture.startOwner(1);
    accept(JOB_ID, { count: 1, cpu: 4_000 });
    await advanceTime(1_500);
    setCapacity(owner, 16_000);
    await advanceTime(20);
    expect(fixture.logged.some((line) => line.startsWith("taskPlaced")))
      .toBe(false);
    executor.fault = undefined;
    executor.deliverDelayed();
    await advanceTime(1_500);
    expect([...executor.running.keys()]).toEqual([nameTask(JOB_ID, 0)]);
  });

  // Guards against stopping a run that fills for the sake of an executor that
  // is over its capacity and so gets no task.
  test("keeps runs that fill where they are while others are full", async () => {
    const first = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    accept(JOB_ID, { count: 1, cpu: 8_000 });
    await advanceTime(500);
    setCapacity(owner, 4_000);
    const second = fixture.addExecutor("e2");
    owner.refresh();
    await advanceTime(500);
    const step = createStep({
      count: 1,
      size: sizeOf(1_000),
      isLasting: true,
      isFilling: true,
    });
    fixture.accept(NEXT_JOB_ID, [step]);
    await advanceTime(2_000);
    expect([...second.running.keys()]).toEqual([nameTask(NEXT_JOB_ID, 0)]);
    fixture.reports.set("e2", createReport("e2", { isDraining: true }));
    owner.refresh();
    await advanceTime(2_000);
    expect([...second.running.keys()]).toEqual([nameTask(NEXT_JOB_ID, 0)]);
    expect([...first.running.keys()]).toEqual([nameTask(JOB_ID, 0)]);
  });
});
