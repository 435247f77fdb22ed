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

describe("createPartitionOwner", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnerFixture();
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });

  const stateOf = async (
    owner: { getJobState(id: string): Promise<unknown> },
  ) => await owner.getJobState(JOB_ID);

  // Guards against a job that is stored and never run, and against a state
  // that is shown as completed before the ends are stored.
  test("runs an accepted job to its end", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [
      createStep(),
      createStep({ dependsOn: [0], count: 1 }),
    ]);
    await advanceTime(50);
    expect([...executor.running.keys()].sort()).toEqual([
      `${JOB_ID}.0.0.0`,
      `${JOB_ID}.0.0.1`,
    ]);
    expect(await stateOf(owner)).toEqual({ type: "known", value: "running" });
    executor.end(`${JOB_ID}.0.0.0`, "done");
    executor.end(`${JOB_ID}.0.0.1`, "done");
    await advanceTime(300);
    expect([...executor.running.keys()]).toEqual([`${JOB_ID}.0.1.0`]);
    executor.end(`${JOB_ID}.0.1.0`, "done");
    await advanceTime(2_000);
    expect(await stateOf(owner)).toEqual({ type: "known", value: "completed" });
    expect(fixture.progress().get(JOB_ID)).toContain("completed");
    // The ends are confirmed once they are stored.
    expect(executor.ends).toEqual([]);
  });

  // Guards against ends that are confirmed before they are stored, which would
  // be lost with their owner.
  test("confirms no end while the store is away", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    fixture.store.fault = "silent";
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(3_000);
    expect(executor.ends).toHaveLength(1);
    fixture.store.fault = undefined;
    await advanceTime(3_000);
    expect(executor.ends).toEqual([]);
  });

  // Guards against a job that is shown as completed and run by the next
  // owner (trouble-2 of Lakeshore: power lost while the store was down).
  test("shows no outcome before it is stored", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    fixture.store.fault = "silent";
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(2_000);
    expect(await stateOf(owner)).toEqual({ type: "known", value: "running" });
    fixture.store.fault = undefined;
    await advanceTime(2_000);
    expect(await stateOf(owner)).toEqual({ type: "known", value: "completed" });
  });

  // Guards against ends that are stored twice or not at all when the answers
  // of the store are lost.
  test("stores ends once when answers are lost", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    fixture.store.fault = "losingAnswers";
    executor.end(`${JOB_ID}.0.0.0`, "done");
    executor.end(`${JOB_ID}.0.0.1`, "done");
    await advanceTime(1_000);
    fixture.store.fault = undefined;
    await advanceTime(2_000);
    expect(await stateOf(owner)).toEqual({ type: "known", value: "completed" });
    expect(executor.ends).toEqual([]);
  });

  // Guards against ends that are confirmed and not stored, since the store took
  // the first appends of a new owner for repeats of a short-lived one's (seen
  // on trouble-1 of Lakeshore: a task started again after its end).
  test("stores the ends of a short-lived owner's successor", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [
      createStep({ count: 1 }),
      createStep({ dependsOn: [0] }),
    ]);
    await advanceTime(300);
    first.close();
    const second = await fixture.startOwner(2);
    await advanceTime(300);
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(2_000);
    expect(executor.ends).toEqual([]);
    second.close();
    await fixture.startOwner(3);
    await advanceTime(500);
    expect(executor.starts.map(({ task }) => task)).toEqual([
      `${JOB_ID}.0.0.0`,
      `${JOB_ID}.0.1.0`,
      `${JOB_ID}.0.1.1`,
    ]);
  });

  // Guards against two runs of one task when the old owner is cut off together
  // with some executors (seen on scale-1: the new owner had adopted the run).
  test("repeats nothing that another owner may have adopted", async () => {
    const far = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    const near = fixture.addExecutor("e2");
    owner.refresh();
    await advanceTime(50);
    fixture.confirmedAtMs = performance.now();
    far.fault = "cut";
    await advanceTime(20_000);
    expect(near.starts).toEqual([]);
    fixture.confirmedAtMs = "now";
    await advanceTime(500);
    expect(near.starts).toHaveLength(2);
  });

  // Guards against a fenced owner that goes on ordering.
  test("gives up once a newer owner has called", async () => {
    fixture.addExecutor("e1");
    await fixture.startOwner(1);
    const second = await fixture.startOwner(2);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(2_000);
    expect(fixture.lossReasons.length).toBeGreaterThan(0);
    expect(second.isLoaded()).toBe(true);
  });

  // Guards against a second run when the answer to a start was lost.
  test("adopts a start whose answer was lost", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    executor.fault = "losingAnswers";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(20);
    executor.fault = undefined;
    await advanceTime(2_000);
    expect(executor.starts).toHaveLength(1);
    expect(executor.running.size).toBe(1);
  });

  // Guards against an order that is carried out seconds later beside the run
  // that replaced it.
  test("makes an executor refuse a start that comes late", async () => {
    const slow = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    slow.fault = "late";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(20);
    slow.fault = undefined;
    await advanceTime(3_000);
    const [run] = slow.running.values();
    expect(run?.run).toBe(2);
    slow.deliverLate();
    expect(slow.starts).toHaveLength(1);
  });

  // Guards against tasks that go on, or start, after the cancellation.
  test("stops a cancelled job", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep(), createStep({ dependsOn: [0] })]);
    await advanceTime(50);
    fixture.cancel(JOB_ID);
    await advanceTime(500);
    expect(executor.running.size).toBe(0);
    expect(await stateOf(owner)).toEqual({ type: "known", value: "cancelled" });
    expect(executor.starts).toHaveLength(2);
  });

  // Guards against a failure that two owners count (BUDGET on trouble-3).
  test("counts a failed run once across owners", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    executor.end(`${JOB_ID}.0.0.0`, "failed");
    await advanceTime(2_000);
    executor.end(`${JOB_ID}.0.0.0`, "failed");
    await advanceTime(20);
    first.close();
    const owner = await fixture.startOwner(2);
    await advanceTime(2_000);
    expect(executor.starts).toHaveLength(3);
    executor.end(`${JOB_ID}.0.0.0`, "failed");
    await advanceTime(2_000);
    expect(executor.starts).toHaveLength(3);
    expect(await stateOf(owner)).toEqual({ type: "known", value: "failed" });
  });

  // Guards against 410 for a job that only has not been read yet.
  test("does not say that a job is missing while it can't read", async () => {
    fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.store.fault = "refusing";
    expect(await stateOf(owner)).toEqual({ type: "unavailable" });
    fixture.store.fault = undefined;
    expect(await stateOf(owner)).toEqual({ type: "missing" });
  });

  // Guards against jobs that are lost when the store drops its history.
  test("finds jobs again after the history was dropped", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.store.fault = "refusing";
    await advanceTime(6_000);
    fixture.accept(JOB_ID, [createStep()]);
    fixture.store.dropHistory({ topic: "jobs", partition: 3 });
    fixture.store.fault = undefined;
    await advanceTime(2_000);
    expect(executor.running.size).toBe(2);
  });

  // Guards against lasting tasks that are not started again.
  test("restarts a lasting task however it ends", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(50);
    for (const how of ["done", "failed", "failed", "failed"] as const) {
      executor.end(`${JOB_ID}.0.0.0`, how);
      await advanceTime(1_000);
      expect(executor.running.size).toBe(1);
    }
  });

  // Guards against a machine that is ordered away with all that runs on it,
  // right after a takeover (AVAIL on hunted days of both sites).
  test("calls no executor idle that it has not heard of", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ isLasting: true })]);
    await advanceTime(50);
    first.close();
    executor.fault = "cut";
    const owner = await fixture.startOwner(2);
    expect(owner.reserveAndReport(new Set(["e1"]), []).idle).toEqual([]);
    executor.fault = undefined;
    await advanceTime(500);
    expect(owner.reserveAndReport(new Set(["e1"]), []).busy).toEqual(["e1"]);
  });

  // Guards against work that ends when its executor is taken for upkeep, and
  // against more lasting tasks away than their budget allows.
  test("empties a reserved executor within the budget", async () => {
    const executors = ["e1", "e2", "e3"].map((id) => fixture.addExecutor(id));
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [
      createStep({ count: 2, isLasting: true, maxPerExecutor: 1, maxAway: 1 }),
    ]);
    await advanceTime(2_000);
    const used = executors.filter(({ running }) => running.size > 0);
    expect(used).toHaveLength(2);
    owner.reserveAndReport(new Set(used.map(({ report }) => report.id)), []);
    await advanceTime(300);
    expect(executors.filter(({ running }) => running.size > 0).length)
      .toBeGreaterThanOrEqual(1);
    await advanceTime(2_000);
    const report = owner.reserveAndReport(new Set(), []);
    expect(report.busy).toHaveLength(2);
  });

  // Guards against a job that is run again by a later owner, since its progress
  // was forgotten and the record that accepted it was not.
  test("forgets an ended job whole", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(50);
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(145_000);
    expect(await stateOf(first)).toEqual({ type: "known", value: "completed" });
    await advanceTime(20_000);
    expect(await stateOf(first)).toEqual({ type: "missing" });
    expect(fixture.progress().get(JOB_ID)).toBeUndefined();
    first.close();
    const owner = await fixture.startOwner(2);
    await advanceTime(1_000);
    expect(executor.starts).toHaveLength(1);
    expect(await stateOf(owner)).toEqual({ type: "missing" });
  });

  // Guards against a forgotten job that is known by half when the store loses
  // the answer or is away.
  test.each(["losingAnswers", "silent"] as const)(
    "keeps an ended job until it is forgotten whole (%s)",
    async (fault) => {
      const executor = fixture.addExecutor("e1");
      const first = await fixture.startOwner(1);
      fixture.accept(JOB_ID, [createStep({ count: 1 })]);
      await advanceTime(50);
      executor.end(`${JOB_ID}.0.0.0`, "done");
      await advanceTime(145_000);
      fixture.store.fault = fault;
      await advanceTime(20_000);
      first.close();
      fixture.store.fault = undefined;
      await fixture.startOwner(2);
      await advanceTime(20_000);
      expect(executor.starts).toHaveLength(1);
      expect(fixture.progress().get(JOB_ID)).toBeUndefined();
    },
  );

  // Guards against a task that nobody runs again: the answer to a look that was
  // overtaken by a later one listed a run that had ended (LOST on a mix day of
  // Lakeshore).
  test("adopts no run from an answer that came late", async () => {
    const executor = fixture.addExecutor("e1");
    const { poll: hold } = fixture.executors;
    let deliver: (() => void) | undefined;
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    fixture.accept("00000000000000a2", [createStep({ count: 1 })]);
    await advanceTime(50);
    fixture.executors.poll = async (target, order) => {
      const outcome = await hold(target, { ...order, waitMs: 0 });
      fixture.executors.poll = hold;
      await new Promise<void>((resolve) => deliver = resolve);
      return outcome;
    };
    // Stopping a run asks for a look beside the one that waits.
    fixture.cancel("00000000000000a2");
    await advanceTime(1_000);
    expect(deliver).toBeDefined();
    executor.end(`${JOB_ID}.0.0.0`, "failed");
    // The waiting look tells the end first, before the task is placed again.
    await advanceTime(1);
    deliver!();
    await advanceTime(2_000);
    expect(executor.running.has(`${JOB_ID}.0.0.0`)).toBe(true);
  });

  // Guards against looks without a pause at each executor while the store does
  // not confirm the owner (13,868 looks on trouble-2 of Lakeshore).
  test("looks no more often while it may renew nothing", async () => {
    fixture.addExecutor("e1");
    const { poll: hold } = fixture.executors;
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(2_000);
    let looks = 0;
    fixture.executors.poll = async (target, order) => {
      looks++;
      if (looks > 50) await new Promise<void>(() => undefined);
      return await hold(target, order);
    };
    fixture.confirmedAtMs = performance.now() - 4_000;
    await advanceTime(2_000);
    expect(looks).toBeLessThanOrEqual(4);
  });
});
