import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("createPartitionOwner", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  const stateOf = async (
    owner: { getJobState(id: string): Promise<unknown> },
  ) => await owner.getJobState(JOB_ID);

  // Guards against a stored job that never runs, and against a job that is
  // shown as completed before the ends of its runs are stored.
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
    // The ends are acknowledged once they are stored.
    expect(executor.ends).toEqual([]);
  });

  // Guards against an owner under load that reads and applies the same records
  // once for each query of a job that it does not know (UNASKED).
  test("shares the read for queries of unknown jobs", async () => {
    const owner = await fixture.startOwner(1);
    fixture.store.calls["read"] = 0;
    const queries = Array.from({ length: 20 }, () => stateOf(owner));
    for (const result of await Promise.all(queries)) {
      expect(result).toEqual({ type: "missing" });
    }
    expect(fixture.store.calls["read"]).toBeLessThanOrEqual(2);
  });

  // Guards against acknowledging ends before they are stored. They would be
  // lost if their owner stopped.
  test("acknowledges no end while the store is unreachable", async () => {
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

  // Guards against a job that is shown as completed and run again by the next
  // owner, as on trouble-2 of Lakeshore: power was lost while the store was
  // down.
  test("shows the outcome of a job only once it is stored", async () => {
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

  // Guards against storing ends twice or not at all when answers of the store
  // are lost.
  test("stores ends exactly once when answers are lost", async () => {
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

  // Guards against acknowledging ends that are not stored, because the store
  // took the first appends of a new owner for repeats of a short-lived owner's.
  // On trouble-1 of Lakeshore, a task was started again after its end.
  test("stores ends under a successor of a short-lived owner", async () => {
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
  // with some executors. On scale-1, the new owner had adopted the run.
  test("does not repeat runs that another owner may have adopted", async () => {
    const far = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(50);
    const near = fixture.addExecutor("e2");
    owner.refresh();
    await advanceTime(50);
    fixture.confirmedAtMs = performance.now();
    far.fault = "unreachable";
    await advanceTime(20_000);
    expect(near.starts).toEqual([]);
    fixture.confirmedAtMs = "now";
    await advanceTime(500);
    expect(near.starts).toHaveLength(2);
  });

  // Guards against a fenced owner that goes on sending requests.
  test("stops once it is fenced by a newer owner", async () => {
    fixture.addExecutor("e1");
    await fixture.startOwner(1);
    const second = await fixture.startOwner(2);
    fixture.accept(JOB_ID, [createStep()]);
    await advanceTime(2_000);
    expect(fixture.lossReasons.length).toBeGreaterThan(0);
    expect(second.isLoaded()).toBe(true);
  });

  // Guards against a second run when the answer to a start request is lost.
  test("adopts a run whose start was not answered", async () => {
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

  // Guards against a start request that takes effect seconds later, while the
  // run that replaced it is going on.
  test("makes executors refuse delayed start requests", async () => {
    const slow = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    slow.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(20);
    slow.fault = undefined;
    await advanceTime(3_000);
    const [run] = slow.running.values();
    expect(run?.run).toBe(2);
    slow.deliverDelayed();
    expect(slow.starts).toHaveLength(1);
  });

  // Guards against tasks that go on or start after the cancellation.
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

  // Guards against counting one failed run at two owners (BUDGET on trouble-3).
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

  // Guards against status 410 for a job whose record was not read yet.
  test("reports a job as missing only if the store answers", async () => {
    fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    fixture.store.fault = "refusing";
    expect(await stateOf(owner)).toEqual({ type: "unavailable" });
    fixture.store.fault = undefined;
    expect(await stateOf(owner)).toEqual({ type: "missing" });
  });

  // Guards against losing jobs when the store drops old records.
  test("finds jobs after the store has dropped old records", async () => {
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

  // Guards against a lasting task that ends and is not started again.
  test("restarts a lasting task whatever its result", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(50);
    for (const result of ["done", "failed", "failed", "failed"] as const) {
      executor.end(`${JOB_ID}.0.0.0`, result);
      await advanceTime(1_000);
      expect(executor.running.size).toBe(1);
    }
  });

  // Guards against taking away a machine with all that runs on it right after a
  // takeover (AVAIL on randomised days of both sites).
  test("reports no unconfirmed executor as idle", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ isLasting: true })]);
    await advanceTime(50);
    first.close();
    executor.fault = "unreachable";
    const owner = await fixture.startOwner(2);
    expect(owner.reserveAndReport(new Set(["e1"]), []).idle).toEqual([]);
    executor.fault = undefined;
    await advanceTime(500);
    expect(owner.reserveAndReport(new Set(["e1"]), []).busy).toEqual(["e1"]);
  });

  // Guards against tasks that are still running when the machine is taken down
  // for upkeep, and against exceeding the disruption budget of lasting tasks.
  test("drains reserved executors within the disruption budget", async () => {
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

  // Guards against a later owner that runs a job again, because its progress
  // was deleted and the record that accepted it was not.
  test("removes an expired job completely", async () => {
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

  // Guards against a job that is only partly deleted when the store does not
  // answer or its answer is lost.
  test.each(["losingAnswers", "silent"] as const)(
    "keeps an expired job until it is removed completely (%s)",
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

  // Guards against a task that is never run again, because the answer to a poll
  // arrived after that to a later one, and listed a run that had ended (LOST on
  // a mix day of Lakeshore).
  test("adopts no run from an answer that came late", async () => {
    const executor = fixture.addExecutor("e1");
    const { poll } = fixture.executors;
    let deliver: (() => void) | undefined;
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    fixture.accept("00000000000000a2", [createStep({ count: 1 })]);
    await advanceTime(50);
    fixture.executors.poll = async (target, request) => {
      const outcome = await poll(target, { ...request, waitMs: 0 });
      fixture.executors.poll = poll;
      await new Promise<void>((resolve) => deliver = resolve);
      return outcome;
    };
    // Stopping a run makes a second poll beside the one that waits.
    fixture.cancel("00000000000000a2");
    await advanceTime(1_000);
    expect(deliver).toBeDefined();
    executor.end(`${JOB_ID}.0.0.0`, "failed");
    // The waiting poll reports the end first, before the task is placed again.
    await advanceTime(1);
    deliver!();
    await advanceTime(2_000);
    expect(executor.running.has(`${JOB_ID}.0.0.0`)).toBe(true);
  });

  // Guards against polling each executor without a pause while the store does
  // not confirm the ownership (13,868 polls on trouble-2 of Lakeshore).
  test("polls no more often while it may not renew leases", async () => {
    fixture.addExecutor("e1");
    const { poll } = fixture.executors;
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(2_000);
    let polls = 0;
    fixture.executors.poll = async (target, request) => {
      polls++;
      if (polls > 50) await new Promise<void>(() => undefined);
      return await poll(target, request);
    };
    fixture.confirmedAtMs = performance.now() - 4_000;
    await advanceTime(2_000);
    expect(polls).toBeLessThanOrEqual(4);
  });

  // Guards against a partition whose owner keeps it without ever loading it.
  test("reports a partition that it can't load while it is its owner", async () => {
    fixture.store.fault = "refusing";
    await fixture.startOwner(1);
    await advanceTime(9_000);
    expect(fixture.loadTimeouts).toBe(0);
    await advanceTime(2_000);
    expect(fixture.loadTimeouts).toBe(1);
  });

  // Guards against all members giving up at once while the store is down.
  test("keeps a partition while the store confirms no owner", async () => {
    fixture.store.fault = "refusing";
    fixture.confirmedAtMs = -10_000;
    await fixture.startOwner(1);
    await advanceTime(20_000);
    expect(fixture.loadTimeouts).toBe(0);
  });
});
