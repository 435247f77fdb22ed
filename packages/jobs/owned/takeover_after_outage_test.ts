import { describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
  PARTITION,
  setUpOwners,
} from "../_fixtures.ts";
import { HANDOVER_KEY } from "../topics.ts";
import { fencePartition } from "./load_partition.ts";
import type { PartitionOwner } from "./partition_owner.ts";

const TASK = `${JOB_ID}.0.0.0`;

/** Time for which the run of the earlier owner goes on. */
const RUN_MS = 790;

/** Time from the end of that run until the store is back. */
const REST_OF_OUTAGE_MS = 2_030;

/** Time for which an executor stays missing after the store is back. */
const MISSING_MS = 400;

describe("a takeover after an outage of the store", () => {
  let fixture: OwnerFixture;
  let used: MemoryExecutor;
  let other: MemoryExecutor;

  setUpOwners((created) => fixture = created);

  /** Lets owner 75 store the progress of a job that starts nowhere yet. */
  async function prepareJob(): Promise<PartitionOwner> {
    const owner = await fixture.startOwner(75);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(500);
    expect(fixture.progress().has(JOB_ID)).toBe(true);
    return owner;
  }

  /** Lets owner 75 run another job on `e1`, prepare a job and hand over. */
  async function handOver(): Promise<void> {
    used = fixture.addExecutor("e1");
    const earlierId = "00000000000000a0";
    fixture.accept(earlierId, [createStep({ count: 1 })]);
    const owner = await fixture.startOwner(75);
    await advanceTime(500);
    used.end(`${earlierId}.0.0.0`, "done");
    await advanceTime(500);
    fixture.reports.set("e1", createReport("e1", { isDraining: true }));
    owner.refresh();
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    await advanceTime(500);
    await Promise.all([owner.release(1_000), advanceTime(1_000)]);
    expect(fixture.progress().has(JOB_ID)).toBe(true);
    expect(fixture.progress().has(HANDOVER_KEY)).toBe(true);
    fixture.reports.set("e1", createReport("e1"));
  }

  /**
   * Ends the run of owner 76, if there is one, while the store is silent. Owner
   * 97 follows once the store is back, while `e1` is missing on the list.
   */
  async function followInOutage(owner: PartitionOwner) {
    await advanceTime(RUN_MS);
    used.end(TASK, "done");
    await advanceTime(REST_OF_OUTAGE_MS);
    owner.close();
    fixture.reports.delete("e1");
    other = fixture.addExecutor("e2");
    fixture.store.fault = undefined;
    const next = await fixture.startOwner(97);
    await advanceTime(MISSING_MS);
    fixture.reports.set("e1", createReport("e1"));
    next.refresh();
    await advanceTime(1_000);
    return next;
  }

  /** Expects that the task has started once and that its job gets completed. */
  async function expectOneRun(owner: PartitionOwner): Promise<void> {
    const starts = [used, other].flatMap(({ starts }) => starts)
      .filter(({ task }) => task === TASK);
    expect(starts).toHaveLength(1);
    other.end(TASK, "done");
    await advanceTime(500);
    expect(await owner.getJobState(JOB_ID)).toEqual({
      type: "known",
      value: "completed",
    });
  }

  // Guards against a handover that covers no start of the owner which read it,
  // but is read again as that owner could not delete it (TWICE, issue 30).
  test("runs a task once if a handover could not be deleted", async () => {
    await handOver();
    const { append } = fixture.store;
    fixture.store.append = (partition, request) => {
      // The deletion is the first record of the new owner.
      if (request.records.length > 0) fixture.store.fault = "silent";
      return append(partition, request);
    };
    const owner = await fixture.startOwner(76);
    fixture.store.append = append;
    await expectOneRun(await followInOutage(owner));
  });

  // Guards against an executor that neither the list nor the record of used
  // executors names (TWICE, issue 30).
  test("runs a task once if the use of its executor could not be stored", async () => {
    const first = await prepareJob();
    first.close();
    const owner = await fixture.startOwner(76);
    await advanceTime(500);
    fixture.store.fault = "silent";
    used = fixture.addExecutor("e1");
    owner.refresh();
    await advanceTime(50);
    await expectOneRun(await followInOutage(owner));
  });

  // Guards against a start before the new owner knows what ran on an executor
  // that is missing on the list, though its use is stored.
  test("runs a task once if only its end could not be stored", async () => {
    await handOver();
    const owner = await fixture.startOwner(76);
    await advanceTime(150);
    expect(used.running.has(TASK)).toBe(true);
    fixture.store.fault = "silent";
    const next = await followInOutage(owner);
    expect(other.starts).toEqual([]);
    await expectOneRun(next);
  });

  // Guards against two runs of a task (TWICE): the state that an owner has read
  // is outdated once the list of executors is there.
  test("does not act if another owner comes before the list", async () => {
    const executor = fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    first.close();
    fixture.hasExecutorList = false;
    await fixture.startOwner(2);
    await fencePartition(fixture.store, {
      partition: PARTITION,
      epoch: 3,
      timeoutMs: 100,
    });
    fixture.hasExecutorList = true;
    await advanceTime(500);
    expect(fixture.lossReasons).toEqual(["store"]);
    expect(executor.token).toBe(1);
  });
});
