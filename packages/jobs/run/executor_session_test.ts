import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PollOutcome } from "../ports.ts";

/** Time after which a call without an answer is given up. */
const CALL_TIMEOUT_MS = 700;

describe("createExecutorSession", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  /** Lets the next poll that does not wait for an end get no answer. */
  function loseNextShortPoll(): void {
    const { poll } = fixture.executors;
    let isLost = false;
    fixture.executors.poll = async (target, request) => {
      if (isLost || request.waitMs > 0) return await poll(target, request);
      isLost = true;
      await new Promise((resolve) => setTimeout(resolve, CALL_TIMEOUT_MS));
      const outcome: PollOutcome = { type: "unknown", reason: "ETIMEDOUT" };
      return outcome;
    };
  }

  // Guards against an executor that counts as silent until a new owner (LOST).
  test("polls again after a lost poll beside one that was answered", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(300);
    expect(executor.starts).toHaveLength(1);
    loseNextShortPoll();
    fixture.cancel(JOB_ID);
    await advanceTime(2_000);
    expect(executor.running.size).toBe(0);
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(2_000);
    expect([...executor.running.keys()]).toEqual([`${NEXT_JOB_ID}.0.0.0`]);
  });

  // Guards against a start that waits for a connection and is sent after its
  // job was cancelled (UNASKED).
  test("takes back an unsent start as its job is cancelled", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    const { start } = fixture.executors;
    const sent: string[] = [];
    fixture.executors.start = (target, request, options) =>
      new Promise((resolve) => {
        const timer = setTimeout(() => {
          sent.push(request.task);
          resolve(start(target, request));
        }, CALL_TIMEOUT_MS);
        options?.signal?.addEventListener("abort", () => {
          clearTimeout(timer);
          resolve({ type: "notSent", reason: "withdrawn" });
        });
      });
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(CALL_TIMEOUT_MS / 2);
    fixture.cancel(JOB_ID);
    await advanceTime(CALL_TIMEOUT_MS);
    expect(sent).toEqual([]);
    fixture.executors.start = start;
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(300);
    expect(executor.starts.map(({ task }) => task)).toEqual([
      `${NEXT_JOB_ID}.0.0.0`,
    ]);
  });

  // Guards against an executor that counts as occupied until a new owner, by a
  // run that only a delayed answer has shown (LOST).
  test("polls again if an answer beside another one shows a run", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(300);
    const { poll } = fixture.executors;
    let isDelayed = false;
    fixture.executors.poll = async (target, request) => {
      if (!isDelayed && request.waitMs === 0) {
        isDelayed = true;
        await new Promise((resolve) => setTimeout(resolve, 600));
      }
      return await poll(target, request);
    };
    fixture.cancel(JOB_ID);
    await advanceTime(500);
    // A start of an earlier owner, for a job that has been deleted, is late.
    const late = { run: 1, checkpoint: "", startedAtMs: performance.now() };
    executor.running.set("00000000000000ff.0.0.0", late);
    await advanceTime(1_000);
    expect(isDelayed).toBe(true);
    expect(executor.running.size).toBe(0);
    fixture.accept(NEXT_JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(5_000);
    expect([...executor.running.keys()]).toEqual([`${NEXT_JOB_ID}.0.0.0`]);
  });
});
