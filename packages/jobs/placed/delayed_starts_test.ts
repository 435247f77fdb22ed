import { describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";

/** Time that the store takes to answer. */
const STORE_MS = 400;

describe("a start that waits for the store", () => {
  let fixture: OwnerFixture;
  let owner: PartitionOwner;
  let executor: MemoryExecutor;

  setUpOwners((created) => fixture = created);

  /** Lets an owner place a task that may have crashed two executors. */
  async function placeSuspectTask() {
    owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(500);
    const task = owner.jobs.get(JOB_ID)!.groups[0]!.tasks[0]!;
    task.crashes = [1, 2].map((run) => ({
      run,
      executor: `e${run}`,
      isConfirmed: true,
    }));
    executor = fixture.addExecutor("e3");
    owner.refresh();
    const { append } = fixture.store;
    let isUseStored = false;
    fixture.store.append = async (partition, request) => {
      const outcome = await append(partition, request);
      if (isUseStored) await new Promise((done) => setTimeout(done, STORE_MS));
      isUseStored = true;
      return outcome;
    };
    await advanceTime(STORE_MS / 2);
    expect(executor.starts).toEqual([]);
  }

  // Guards against two runs of a task (TWICE): the handover of an owner does
  // not know the lease of a run that starts later.
  test("is not sent once the partition is handed over", async () => {
    await placeSuspectTask();
    await Promise.all([owner.release(1_000), advanceTime(1_000)]);
    expect(executor.starts).toEqual([]);
  });

  // Guards against two runs of a task (TWICE): the next owner waits only for
  // starts that were sent while the ownership was confirmed.
  test("is not sent without a confirmed ownership", async () => {
    await placeSuspectTask();
    fixture.confirmedAtMs = performance.now() - 4_000;
    await advanceTime(1_000);
    expect(executor.starts).toEqual([]);
    fixture.confirmedAtMs = "now";
    await advanceTime(2_000);
    expect(executor.starts).toHaveLength(1);
  });
});
