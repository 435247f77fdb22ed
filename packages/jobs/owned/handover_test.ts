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
  createStep,
  JOB_ID,
  type OwnerFixture,
} from "../_fixtures.ts";
import { PROGRESS_TOPIC } from "../topics.ts";

describe("a takeover", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnerFixture();
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });

  // Guards against a handover by an owner that has not heard of all executors
  // itself (seen in a hunt on Lakeshore: 189 tasks ran twice).
  test("trusts no handover of an incomplete takeover", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    first.close();
    cut.fault = "cut";
    const other = fixture.addExecutor("e2");
    const second = await fixture.startOwner(2);
    await Promise.all([second.release(1_000), advanceTime(1_000)]);
    await fixture.startOwner(3);
    await advanceTime(4_000);
    expect(other.starts).toEqual([]);
  });

  // Guards against a takeover that waits for leases after a planned stop (10.4
  // s on trouble-2 of Lakeshore).
  test("waits only for what a handover names", async () => {
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
    unused.fault = "cut";
    await Promise.all([first.release(1_000), advanceTime(1_000)]);
    await fixture.startOwner(2);
    used.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(1_500);
    expect(used.running.size).toBe(2);
  });

  // Guards against a takeover that waits for the leases of executors that left
  // long ago (partition 12 on trouble-1 of Nyabarongo stood still for 8 s).
  test("waits for no executor that an earlier owner has outlived", async () => {
    fixture.addExecutor("e1");
    const gone = fixture.addExecutor("e2");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 2, maxPerExecutor: 1 })]);
    await advanceTime(50);
    gone.end([...gone.running.keys()][0]!, "done");
    await advanceTime(500);
    await Promise.all([first.release(1_000), advanceTime(1_000)]);
    gone.fault = "cut";
    fixture.reports.delete("e2");
    const second = await fixture.startOwner(2);
    await advanceTime(500);
    second.close();
    await fixture.startOwner(3);
    await advanceTime(500);
    expect(fixture.logged.filter((line) => line.startsWith("takeoverComplete")))
      .toHaveLength(3);
  });

  // Guards against a partition that stands still for a lease at each planned
  // handover while one executor is cut off (9 s on trouble-2 of Lakeshore).
  test("blocks only the tasks of a silent executor over handovers", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    expect(cut.running.size).toBe(1);
    cut.fault = "cut";
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
    // The lease of the first executor is over, 5 s after its last renewal.
    expect(other.running.has(`${JOB_ID}.0.0.0`)).toBe(true);
  });

  // Guards against two runs of a task whose executor answers an owner late: a
  // handover of a handover still names it.
  test("keeps what a handover names over the next one", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    cut.fault = "cut";
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

  // Guards against two runs of one task when the executor that has the first
  // one is cut off during the takeover and leaves the list meanwhile (seen on
  // scale-1 and scale-2).
  test("waits for the leases of executors that it can't reach", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    expect(cut.running.size).toBe(2);
    first.close();
    cut.fault = "cut";
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
  test("adopts what an earlier owner started", async () => {
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

  // Guards against new jobs that wait for the leases of executors which a lost
  // owner has used (4 s on each day with a cut data centre).
  test("starts a new job at once after an owner was lost", async () => {
    const cut = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    expect(cut.running.size).toBe(1);
    first.close();
    cut.fault = "cut";
    const other = fixture.addExecutor("e2");
    fixture.accept("00000000000000a2", [createStep({ count: 1 })]);
    await fixture.startOwner(2);
    await advanceTime(2_000);
    expect([...other.running.keys()]).toEqual(["00000000000000a2.0.0.0"]);
  });

  // Guards against two runs of a task that an owner started and lost, which the
  // next owner would take for new.
  test("starts no job before it is stored that it is taken", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    const { append } = fixture.store;
    fixture.store.append = (place, options) =>
      place.topic === PROGRESS_TOPIC
        ? Promise.resolve({ type: "refused", reason: "503", retryAfterMs: 1 })
        : append(place, options);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(2_000);
    expect(executor.starts).toEqual([]);
    fixture.store.append = append;
    await advanceTime(500);
    expect(executor.starts).toHaveLength(1);
  });

  // Guards against a repeated acceptance, whose later record looks new.
  test("knows a job that was accepted again", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    first.close();
    executor.fault = "cut";
    const other = fixture.addExecutor("e2");
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await fixture.startOwner(2);
    await advanceTime(4_000);
    expect(other.starts).toEqual([]);
  });

  // Guards against two runs of a task that an owner has adopted and not renewed
  // before it gives the partition up (TWICE on mix day 810005651418 of
  // Lakeshore).
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
    cut.fault = "cut";
    const other = fixture.addExecutor("e2");
    await fixture.startOwner(3);
    await advanceTime(3_000);
    expect(other.starts).toEqual([]);
  });
});
