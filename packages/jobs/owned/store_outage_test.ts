import { describe, expect, test } from "@jest/globals";
import { createMemoryStore } from "@lagoonloom/standins";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import { createCandidacy } from "./candidacy.ts";
import { followTopic } from "./follow_topic.ts";
import { joinOwners } from "./ownership.ts";

/** Longest time after an outage in which its end has to be noticed. */
const NOTICED_MS = 1_200;

describe("after the store was silent", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  // Guards against a member that refuses callers for a second and more after
  // the store is back (trouble-3 of Bizerte), at any phase of its reads.
  test.each([3_000, 3_600, 4_200, 4_700, 5_300])(
    "notices within a moment that it is back after %i ms",
    async (outageMs) => {
      const store = createMemoryStore({ partitions: 1 });
      const topic = { topic: "op", partition: 0 };
      const follower = followTopic(store, topic, {
        waitMs: 700,
        pauseMs: 0,
        onRecords: () => undefined,
        onFailure: () => undefined,
      });
      await advanceTime(2_000);
      store.fault = "silent";
      await advanceTime(outageMs);
      store.fault = undefined;
      const backAtMs = performance.now();
      await advanceTime(NOTICED_MS);
      expect(follower.readAtMs()).toBeGreaterThanOrEqual(backAtMs);
      follower.close();
    },
  );

  // Guards against an owner whose read waits for an answer that was lost in the
  // outage, while jobs are accepted and wait.
  test.each([2_000, 3_000, 3_400])(
    "starts new jobs within a moment after %i ms",
    async (outageMs) => {
      const executor = fixture.addExecutor("e1");
      await fixture.startOwner(1);
      await advanceTime(1_000);
      fixture.store.fault = "silent";
      await advanceTime(outageMs);
      fixture.store.fault = undefined;
      fixture.accept(JOB_ID, [createStep({ count: 1 })]);
      await advanceTime(NOTICED_MS);
      expect(executor.starts).toHaveLength(1);
    },
  );

  // Guards against capacity that is kept for jobs which can't be prepared
  // while others are prepared and wait.
  test("starts prepared jobs while the store is silent", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    const whole = { cpu: 16_000, memoryMb: 500, accelerators: 0 };
    const idOf = (index: number) => `${index}`.padStart(16, "0");
    for (let index = 0; index < 60; index++) {
      fixture.accept(idOf(index), [createStep({ count: 1, size: whole })]);
      await advanceTime(20);
    }
    fixture.store.fault = "silent";
    for (let ended = 0; ended < 10; ended++) {
      executor.end([...executor.running.keys()][0]!, "done");
      await advanceTime(250);
    }
    expect(executor.starts.length).toBeGreaterThanOrEqual(10);
  });

  // Guards against jobs that wait for the retry of an append with progress.
  test("stores progress within a moment", async () => {
    const executor = fixture.addExecutor("e1");
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(200);
    fixture.store.fault = "silent";
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(4_000);
    fixture.store.fault = undefined;
    await advanceTime(NOTICED_MS);
    expect(executor.ends).toEqual([]);
  });

  // Guards against owners without a confirmed ownership, which start nothing.
  test.each([3_000, 3_600, 4_200, 4_700])(
    "confirms the ownership within a moment after %i ms",
    async (outageMs) => {
      const store = createMemoryStore({ partitions: 1 });
      const ownership = joinOwners({
        store,
        createMemberName: () => "a#1#675#1000",
        candidacy: createCandidacy({
          capacity: { cpu: 675, linkMbps: 1_000 },
          usedPartitionCount: () => 1,
          readMembers: () => Promise.resolve([]),
        }),
        events: { log: () => undefined },
        isUsed: () => true,
        acquire: (_, epoch) => ({ epoch, release: () => Promise.resolve() }),
      });
      await advanceTime(2_000);
      store.fault = "silent";
      await advanceTime(outageMs);
      store.fault = undefined;
      const backAtMs = performance.now();
      await advanceTime(NOTICED_MS);
      expect(ownership.confirmedAtMs(0)).toBeGreaterThanOrEqual(backAtMs);
      void ownership.leave();
    },
  );
});
