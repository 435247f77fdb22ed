import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import { sleep } from "../_sleep.ts";
import { HANDOVER_KEY, PROGRESS_TOPIC } from "../topics.ts";

describe("a takeover", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against relying on a handover from an owner that some executors had
  // not answered. On a randomised day of Lakeshore, 189 tasks ran twice.
  test("ignores the handover of an incomplete takeover", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    first.close();
    cut.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    const second = await fixture.startOwner(2);
    await Promise.all([second.release(1_000), advanceTime(1_000)]);
    await fixture.startOwner(3);
    await advanceTime(4_000);
    expect(other.starts).toEqual([]);
  });

  // Guards against a takeover that waits for leases to expire after a planned
  // stop (10.4 s on trouble-2 of Lakeshore).
  test("waits only for the runs that a handover lists", async () => {
    const executor = fixture.addExecutor("e1");
    const idle = fixture.addExecutor("e2");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [
      createStep({ count: 1 }),
      createStep({ dependsOn: [0] }),
    ]);
    await advanceTime(50);
    const used = executor.running.size > 0 ? executor : idle;
    const unused = used === executor ? idle : executor;
    unused.fault = "unreachable";
    await Promise.all([first.release(1_000), advanceTime(1_000)]);
    await fixture.startOwner(2);
    used.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(1_500);
    expect(used.running.size).toBe(2);
  });

  // Guards against a partition without an owner for the whole timeout of its
  // release, as runs went on to end (1.1 s on scale-1 of Bizerte grown).
  test("follows a release that does not wait for later ends of runs", async () => {
    const executor = fixture.addExecutor("e1");
    const { append } = fixture.store;
    fixture.store.append = async (...args) => {
      await sleep(30);
      return await append(...args);
    };
    const first = await fixture.startOwner(1);
    await advanceTime(500);
    fixture.accept(JOB_ID, [
      createStep({
        count: 60,
        size: { cpu: 200, memoryMb: 100, accelerators: 0 },
      }),
    ]);
    await advanceTime(500);
    expect(executor.running.size).toBe(60);
    let releasedAfterMs = 0;
    let isReleased = false;
    void first.release(1_000).then(() => isReleased = true);
    for (const task of [...executor.running.keys()]) {
      if (isReleased) break;
      executor.end(task, "done");
      await advanceTime(20);
      releasedAfterMs += 20;
    }
    expect(releasedAfterMs).toBeLessThan(300);
    expect(fixture.progress().has(HANDOVER_KEY)).toBe(true);
  });

  // Guards against a takeover that waits for the leases of executors that left
  // long ago. On trouble-1 of Nyabarongo, partition 12 started nothing for 8 s.
  test("does not wait for executors that left under an earlier owner", async () => {
    fixture.addExecutor("e1");
    const removed = fixture.addExecutor("e2");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 2, maxPerExecutor: 1 })]);
    await advanceTime(50);
    removed.end([...removed.running.keys()][0]!, "done");
    await advanceTime(500);
    await Promise.all([first.release(1_000), advanceTime(1_000)]);
    removed.fault = "unreachable";
    fixture.reports.delete("e2");
    const second = await fixture.startOwner(2);
    await advanceTime(500);
    second.close();
    await fixture.startOwner(3);
    await advanceTime(500);
    expect(fixture.logged.filter((line) => line.startsWith("takeoverComplete")))
      .toHaveLength(3);
  });

  // Guards against a partition that starts nothing for the duration of a lease
  // at each planned handover while one executor is cut off (9 s on trouble-2 of
  // Lakeshore).
  test("blocks only tasks of unreachable executors over handovers", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    expect(cut.running.size).toBe(1);
    cut.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    first.refresh();
    await advanceTime(2_000);
    fixture.accept("00000000000000a2", [createStep({ count: 1 })]);
    await advanceTime(200);
    await Promise.all([first.release(1_000), advanceTime(200)]);
    const second = await fixture.startOwner(2);
    await Promise.all([second.release(1_000), advanceTime(200)]);
    await fixture.startOwner(3);
    fixture.accept("00000000000000a3", [createStep({ count: 1 })]);
    await advanceTime(500);
    expect([...other.running.keys()].sort()).toEqual([
      "00000000000000a2.0.0.0",
      "00000000000000a3.0.0.0",
    ]);
    await advanceTime(3_500);
    // The lease of the first executor has expired, 5 s after its last renewal.
    expect(other.running.has(`${JOB_ID}.0.0.0`)).toBe(true);
  });

  // Guards against two runs of a task whose executor is unreachable over two
  // handovers: the second one has to list the run, too.
  test("keeps the runs of a handover in the next one", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    cut.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    await Promise.all([first.release(1_000), advanceTime(100)]);
    const second = await fixture.startOwner(2);
    await Promise.all([second.release(1_000), advanceTime(100)]);
    await fixture.startOwner(3);
    await advanceTime(500);
    expect(other.starts).toEqual([]);
    cut.fault = undefined;
    await advanceTime(3_000);
    expect(other.starts).toEqual([]);
    expect(cut.running.size).toBe(1);
  });

  // Guards against two runs of one task when the executor of the first one is
  // cut off during the takeover and is removed from the list meanwhile (seen on
  // scale-1 and scale-2).
  test("waits for the leases of unreachable executors", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    expect(cut.running.size).toBe(2);
    first.close();
    cut.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    const owner = await fixture.startOwner(2);
    fixture.reports.delete("e1");
    owner.refresh();
    await advanceTime(4_000);
    expect(other.starts).toEqual([]);
    await advanceTime(8_000);
    expect(other.starts).toHaveLength(2);
    expect(other.starts[0]!.run).toBeGreaterThan(1);
  });

  // Guards against two runs of one task after a takeover (seen on scale-1).
  test("adopts runs of an earlier owner", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    first.close();
    const owner = await fixture.startOwner(2);
    await advanceTime(500);
    expect(executor.starts).toHaveLength(2);
    executor.end(`${JOB_ID}.0.0.0`, "done");
    executor.end(`${JOB_ID}.0.0.1`, "done");
    await advanceTime(500);
    expect(await owner.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "completed",
    });
  });

  // Guards against new jobs that wait for leases which an owner that stopped
  // unexpectedly had given (4 s on each day with a data centre cut off).
  test("starts new jobs at once after an unplanned takeover", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    expect(cut.running.size).toBe(1);
    first.close();
    cut.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    fixture.accept("00000000000000a2", [createStep({ count: 1 })]);
    await fixture.startOwner(2);
    await advanceTime(2_000);
    expect([...other.running.keys()]).toEqual(["00000000000000a2.0.0.0"]);
  });

  // Guards against two runs of a task: without stored progress, the next owner
  // would take its job for one that was never started.
  test("starts no job before its progress is stored", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    const { append } = fixture.store;
    fixture.store.append = (partition, options) =>
      partition.topic === PROGRESS_TOPIC
        ? Promise.resolve({ type: "refused", reason: "503", retryAfterMs: 1 })
        : append(partition, options);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(2_000);
    expect(executor.starts).toEqual([]);
    fixture.store.append = append;
    await advanceTime(500);
    expect(executor.starts).toHaveLength(1);
  });

  // Guards against queued jobs that wait 8 s for an unreachable executor on
  // which they never ran, after the loss of an overloaded owner.
  test("starts jobs from a long queue at once after an unplanned takeover", async () => {
    const [silent, other] = [
      fixture.addExecutor("e1"),
      fixture.addExecutor("e2"),
    ];
    const first = await fixture.startOwner(1);
    const whole = { cpu: 16_000, memoryMb: 500, accelerators: 0 };
    fixture.accept(JOB_ID, [createStep({ count: 2, size: whole })]);
    await advanceTime(200);
    expect(silent.running.size + other.running.size).toBe(2);
    for (let index = 0; index < 100; index++) {
      const id = `${index}`.padStart(16, "0");
      fixture.accept(id, [createStep({ count: 1, size: whole })]);
    }
    await advanceTime(200);
    first.close();
    silent.fault = "unreachable";
    other.end([...other.running.keys()][0]!, "done");
    await fixture.startOwner(2);
    await advanceTime(1_000);
    expect(other.starts).toHaveLength(2);
  });

  // Guards against taking a job for new because its acceptance was stored again
  // at a later offset.
  test("recognises a job that was accepted again", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    first.close();
    executor.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await fixture.startOwner(2);
    await advanceTime(4_000);
    expect(other.starts).toEqual([]);
  });

  // Guards against two runs of a task when an owner adopts a run and gives up
  // the partition before it has renewed the lease (TWICE on mix day
  // 810005651418 of Lakeshore).
  test("hands the lease of an adopted run over", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    await Promise.all([first.release(1_000), advanceTime(100)]);
    fixture.confirmedAtMs = performance.now() - 4_000;
    const second = await fixture.startOwner(2);
    await Promise.all([second.release(1_000), advanceTime(100)]);
    fixture.confirmedAtMs = "now";
    cut.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    await fixture.startOwner(3);
    await advanceTime(3_000);
    expect(other.starts).toEqual([]);
  });

  // Guards against a handover that the owner after next still reads, as the
  // next one ended before it had deleted it (TWICE).
  test("starts nothing before the handover is deleted", async () => {
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    await Promise.all([first.release(1_000), advanceTime(1_000)]);
    const hosts = ["e1", "e2"].map((id) => fixture.addExecutor(id));
    const { append } = fixture.store;
    fixture.store.append = async (partition, request) => {
      if (request.records.length === 0) return append(partition, request);
      await new Promise((resolve) => setTimeout(resolve, request.timeoutMs));
      return { type: "unknown", reason: "ETIMEDOUT" };
    };
    const second = await fixture.startOwner(2);
    await advanceTime(100);
    second.close();
    fixture.store.append = append;
    const used = hosts.find(({ running }) => running.size > 0);
    if (used !== undefined) used.fault = "unreachable";
    await fixture.startOwner(3);
    await advanceTime(500);
    expect(hosts.flatMap(({ starts }) => starts).length).toBeLessThan(2);
  });

  // Guards against two runs of a task (TWICE): the owner after next reads the
  // same handover, and waits no longer than the leases that it names.
  test("renews no lease before the handover is deleted", async () => {
    const used = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(1_000);
    used.fault = "unreachable";
    await advanceTime(1_000);
    await Promise.all([first.release(1_000), advanceTime(200)]);
    used.fault = undefined;
    const { leaseExpiryMs } = used;
    const { append } = fixture.store;
    fixture.store.append = (partition, request) => {
      // The deletion is the first record of the new owner.
      if (request.records.length > 0) {
        fixture.store.append = append;
        fixture.store.fault = "silent";
      }
      return append(partition, request);
    };
    await fixture.startOwner(2);
    await advanceTime(300);
    expect(used.leaseExpiryMs).toBe(leaseExpiryMs);
    fixture.store.fault = undefined;
    await advanceTime(1_000);
    expect(used.leaseExpiryMs).toBeGreaterThan(leaseExpiryMs);
  });

  // Guards against two runs of a task (TWICE), as its executor restarted
  // unnoticed, so that the lease lasts longer by the clock of the new process.
  test("hands over the longest lease of a start without an answer", async () => {
    fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    restarted.clockOffsetMs = 0;
    restarted.fault = "losingAnswers";
    fixture.reports.set("e1", createReport("e1"));
    const { poll } = fixture.executors;
    fixture.executors.poll = () =>
      Promise.resolve({ type: "unknown", reason: "no answer" });
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(150);
    expect(restarted.running.size).toBe(1);
    await Promise.all([first.release(1_000), advanceTime(150)]);
    fixture.executors.poll = poll;
    restarted.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    await fixture.startOwner(2);
    const clockMs = () => performance.now() + restarted.clockOffsetMs;
    await advanceTime(restarted.leaseExpiryMs - clockMs());
    expect(other.starts).toEqual([]);
    await advanceTime(2_000);
    expect(other.starts).toHaveLength(1);
  });
});
