import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createMachine,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

describe("confirmEndedExecutors", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /**
   * Loses an owner just after a lasting task was stopped, while the list still
   * shows an executor that does not answer. Returns whether the next owner has
   * started the task again some time later.
   */
  async function isStartedAfterTakeover(afterMs: number): Promise<boolean> {
    const executor = fixture.addExecutor("e1");
    const silent = fixture.addExecutor("e2");
    const first = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    silent.fault = "unreachable";
    executor.end(`${JOB_ID}.0.0.0`, "stopped");
    first.close();
    await fixture.startOwner(2);
    await advanceTime(afterMs);
    return executor.running.has(`${JOB_ID}.0.0.0`);
  }

  // Guards against a lasting task that waits for moved machines (LOST).
  test("starts a waiting task although a machine has moved away", async () => {
    fixture.machines = [createMachine("e1"), createMachine("e3")];
    expect(await isStartedAfterTakeover(1_500)).toBe(true);
  });

  // Guards against a second run of a task beside one that goes on (TWICE).
  test("waits for a silent executor that a machine still has", async () => {
    fixture.machines = [createMachine("e1"), createMachine("e2")];
    expect(await isStartedAfterTakeover(5_000)).toBe(false);
  });

  // Guards against taking a list that failed for one without machines (TWICE).
  test("waits for a silent executor while no list of machines is known", async () => {
    expect(await isStartedAfterTakeover(5_000)).toBe(false);
  });

  // Guards against a machine that one list of several pages leaves out (TWICE).
  test("waits for an executor that only one list leaves out", async () => {
    const isStarted = isStartedAfterTakeover(5_000);
    let lists = 0;
    Object.defineProperty(fixture, "machines", {
      get: () =>
        ++lists === 1
          ? [createMachine("e1")]
          : [createMachine("e1"), createMachine("e2")],
    });
    expect(await isStarted).toBe(false);
    expect(lists).toBeGreaterThan(2);
  });

  // Guards against two runs of a task, as an owner that holds an executor for
  // ended does not call the next process under its id, which then carries out
  // a late start of the earlier owner (TWICE).
  test("calls an executor whose machine was down and is back", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    executor.fault = "delayed";
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(100);
    const other = fixture.addExecutor("e2");
    fixture.machines = [
      createMachine("e2"),
      { ...createMachine("e1"), state: "down", executor: undefined },
    ];
    executor.fault = "unreachable";
    first.close();
    const next = await fixture.startOwner(2);
    await advanceTime(1_000);
    expect(other.starts).toHaveLength(1);
    const restarted = fixture.addExecutor("e1", { startedAtMs: 2 });
    fixture.machines = [createMachine("e1"), createMachine("e2")];
    next.refresh();
    await advanceTime(500);
    executor.deliverDelayed(restarted);
    expect(restarted.starts).toEqual([]);
  });

  // Guards against owners that replace each other and wait anew each (LOST).
  test.each(["is killed", "hands over"])(
    "starts a waiting task although the next owner %s as well",
    async (end) => {
      fixture.machines = [createMachine("e1"), createMachine("e3")];
      const executor = fixture.addExecutor("e1");
      const silent = fixture.addExecutor("e2");
      const first = await fixture.startOwner(1);
      fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
      await advanceTime(500);
      silent.fault = "unreachable";
      executor.end(`${JOB_ID}.0.0.0`, "stopped");
      first.close();
      const second = await fixture.startOwner(2);
      await advanceTime(300);
      expect(executor.running.size).toBe(0);
      if (end === "is killed") second.close();
      else await Promise.all([second.release(1_000), advanceTime(100)]);
      await fixture.startOwner(3);
      await advanceTime(1_500);
      expect(executor.running.size).toBe(1);
      expect(executor.starts.at(-1)?.token).toBe(3);
    },
  );
});
