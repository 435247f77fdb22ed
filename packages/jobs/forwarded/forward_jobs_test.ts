import { beforeEach, describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createAccepted,
  createStep,
  JOB_ID,
  JOBS,
  NEXT_JOB_ID,
  type OwnerFixture,
  PARTITION,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import { cancelKey, JOBS_TOPIC, PROGRESS_TOPIC } from "../topics.ts";

/** Partition of the service `orders`. */
const ELSEWHERE = PARTITION + 1;
const TARGET = { topic: JOBS_TOPIC, partition: ELSEWHERE };

/** Time in which a record is read, decided on and handed on. */
const FORWARD_MS = 600;

/** Time for which an ended job is kept where it ran, and some more. */
const RETENTION_MS = 150_000;

const STEPS = [createStep()];

describe("an owner that keeps the ids of a queue sent elsewhere", () => {
  let fixture: OwnerFixture;
  let quoting: MemoryExecutor;

  setUpOwners((created) => fixture = created);

  beforeEach(() => {
    fixture.servicesElsewhere = new Map([["orders", ELSEWHERE]]);
    quoting = fixture.addExecutor("e1");
  });

  const handedOn = () => fixture.store.readNewestValues(TARGET);

  const serviceOf = (id: string): unknown =>
    (JSON.parse(handedOn().get(id) ?? "{}") as { service?: string }).service;

  /** Starts the next owner after the last one was lost. */
  const replace = async (
    owner: PartitionOwner,
    epoch: number,
  ): Promise<PartitionOwner> => {
    owner.close();
    const next = await fixture.startOwner(epoch);
    await advanceTime(FORWARD_MS);
    return next;
  };

  // Guards against a job that waits where nothing can run it (LOST).
  test("hands a job on to the partition of its service", async () => {
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, STEPS, "orders");
    fixture.accept(NEXT_JOB_ID, STEPS);
    await advanceTime(FORWARD_MS);
    expect([...handedOn().keys()]).toEqual([JOB_ID]);
    expect(await owner.getJobState(JOB_ID))
      .toEqual({ type: "elsewhere", partition: ELSEWHERE });
    const started = quoting.starts.map(({ task }) => task.split(".")[0]);
    expect(new Set(started)).toEqual(new Set([NEXT_JOB_ID]));
  });

  // Guards against a second run of each task (TWICE) as the records of a job
  // name several services.
  test.each([
    { first: "orders", repeat: "quoting", starts: 0, forwarded: "orders" },
    { first: "quoting", repeat: "orders", starts: 2, forwarded: undefined },
  ])(
    "keeps a job of $first that comes again for $repeat",
    async ({ first, repeat, starts, forwarded }) => {
      let owner = await fixture.startOwner(1);
      fixture.accept(JOB_ID, STEPS, first);
      await advanceTime(FORWARD_MS);
      fixture.accept(JOB_ID, STEPS, repeat);
      await advanceTime(FORWARD_MS);
      for (const epoch of [2, 3]) owner = await replace(owner, epoch);
      expect(quoting.starts).toHaveLength(starts);
      expect(serviceOf(JOB_ID)).toBe(forwarded);
    },
  );

  // Guards against a job that this partition runs under its next owner, and
  // that another one has got by then (TWICE).
  test("hands nothing on before its service is stored", async () => {
    const owner = await fixture.startOwner(1);
    await advanceTime(FORWARD_MS);
    fixture.accept(JOB_ID, STEPS, "orders");
    fixture.unreachable = { topic: PROGRESS_TOPIC, partition: PARTITION };
    await advanceTime(FORWARD_MS);
    owner.close();
    fixture.unreachable = undefined;
    fixture.accept(JOB_ID, STEPS, "quoting");
    await fixture.startOwner(2);
    await advanceTime(FORWARD_MS);
    expect(handedOn().size).toBe(0);
    expect(quoting.starts).toHaveLength(2);
  });

  // Guards against a job that is accepted and that nobody runs (LOST), as its
  // owner was lost before it had handed the job on.
  test("hands on what the earlier owner has not", async () => {
    const owner = await fixture.startOwner(1);
    fixture.unreachable = TARGET;
    fixture.accept(JOB_ID, STEPS, "orders");
    await advanceTime(FORWARD_MS);
    expect(await owner.getJobState(JOB_ID))
      .toEqual({ type: "known", value: "queued" });
    expect(owner.countPending("quotes")).toBe(1);
    fixture.accept(JOB_ID, STEPS, "quoting");
    fixture.unreachable = undefined;
    await replace(owner, 2);
    expect(serviceOf(JOB_ID)).toBe("orders");
    expect(quoting.starts).toEqual([]);
  });

  // Guards against tasks that run on after their job was cancelled (UNASKED).
  test.each(["after it", "before it", "under the next owner"])(
    "hands on a cancellation that comes %s",
    async (order) => {
      let owner = await fixture.startOwner(1);
      if (order === "before it") fixture.cancel(JOB_ID);
      await advanceTime(FORWARD_MS);
      fixture.accept(JOB_ID, STEPS, "orders");
      await advanceTime(FORWARD_MS);
      if (order === "under the next owner") {
        owner.close();
        fixture.cancel(JOB_ID);
        owner = await fixture.startOwner(2);
      } else if (order === "after it") fixture.cancel(JOB_ID);
      await advanceTime(FORWARD_MS);
      expect([...handedOn().keys()]).toEqual([JOB_ID, cancelKey(JOB_ID)]);
      expect(owner.countPending("quotes")).toBe(0);
    },
  );

  // Guards against an owner that holds all jobs that it has ever handed on, and
  // against a job that it forgets while it runs: its cancelling would be lost.
  test("forgets a job once the other partition has", async () => {
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, STEPS, "orders");
    await advanceTime(FORWARD_MS);
    fixture.stateElsewhere = { type: "known", value: "running" };
    await advanceTime(2 * RETENTION_MS);
    expect((await owner.getJobState(JOB_ID)).type).toBe("elsewhere");
    fixture.stateElsewhere = { type: "missing" };
    await advanceTime(RETENTION_MS);
    expect(await owner.getJobState(JOB_ID)).toEqual({ type: "missing" });
    expect(fixture.store.readNewestValues(JOBS).size).toBe(0);
    expect(fixture.progress().has(JOB_ID)).toBe(false);
  });

  // Guards against a job that is handed on to its own partition, as the layout
  // of its owner lacks its service.
  test("waits until it knows the partition of a service", async () => {
    fixture.servicesElsewhere = new Map();
    const owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, STEPS, "orders");
    fixture.accept(NEXT_JOB_ID, STEPS, "shipping");
    await advanceTime(FORWARD_MS);
    fixture.services = ["quoting", "shipping"];
    fixture.servicesElsewhere = new Map([["orders", ELSEWHERE]]);
    const shipping = fixture.addExecutor("e2", { service: "shipping" });
    owner.refresh();
    await advanceTime(FORWARD_MS);
    expect([...handedOn().keys()]).toEqual([JOB_ID]);
    expect(shipping.starts).toHaveLength(2);
  });

  // Guards against a record that another call has put in place of the first:
  // the next owner would hand on the job of another organisation.
  test("keeps the organisation of a job that it has to hand on", async () => {
    await fixture.startOwner(1);
    fixture.unreachable = TARGET;
    for (const organisation of ["north", "south"]) {
      const accepted = { ...createAccepted(STEPS), service: "orders" };
      const value = JSON.stringify({ ...accepted, organisation });
      fixture.store.put(JOBS, { key: JOB_ID, value });
      await advanceTime(FORWARD_MS);
    }
    const newest = fixture.store.readNewestValues(JOBS).get(JOB_ID)!;
    expect(JSON.parse(newest)).toMatchObject({ organisation: "north" });
  });
});
