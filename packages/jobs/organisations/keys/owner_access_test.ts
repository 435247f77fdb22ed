import { beforeEach, describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createAccepted,
  createStep,
  JOB_ID,
  JOBS,
  type OwnerFixture,
  setUpOwners,
} from "../../_fixtures.ts";
import { decodeAccepted } from "../../owned/load_partition.ts";
import type { PartitionOwner } from "../../owned/partition_owner.ts";
import type { Caller } from "../../submission.ts";
import { cancelKey } from "../../topics.ts";
import {
  createKeyedConfiguration,
  createOrganisation,
} from "./_key_fixtures.ts";

const NORTH: Caller = { organisation: "north" };
const SOUTH: Caller = { organisation: "south" };

/** Time for which a cancellation without a job is kept. */
const RETENTION_MS = 150_000;

describe("an owner of jobs of several organisations", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created);

  beforeEach(() => {
    configure("north", "south");
  });

  function configure(...names: string[]): void {
    fixture.configuration = createKeyedConfiguration(
      names.map((name) => createOrganisation(name)),
    );
  }

  const submit = (organisation: string | undefined) => {
    const accepted = createAccepted([createStep({ count: 1 })]);
    fixture.store.put(JOBS, {
      key: JOB_ID,
      value: JSON.stringify({ ...accepted, organisation }),
    });
  };
  const cancel = (caller: Caller) =>
    fixture.store.put(JOBS, {
      key: cancelKey(JOB_ID, caller),
      value: JSON.stringify({ cancelledAtMs: Date.now(), caller }),
    });
  const known = (value: string) => ({ type: "known", value });
  const stateOf = (owner: PartitionOwner) => owner.getJobState(JOB_ID);

  // Guards against a key that shows a job of another organisation, and against
  // an own job that is answered as unknown (LOST).
  test.each([
    { job: "north", caller: NORTH, expected: "known" },
    { job: "north", caller: SOUTH, expected: "missing" },
    { job: "north", caller: { queue: "kiosk" }, expected: "missing" },
    { job: "north", caller: {}, expected: "known" },
    { job: "renamed", caller: SOUTH, expected: "unavailable" },
    { job: undefined, caller: SOUTH, expected: "known" },
  ])("shows a job of $job to $caller as $expected", async (entry) => {
    const owner = await fixture.startOwner(1);
    submit(entry.job);
    await advanceTime(1_000);
    const { type } = await owner.getJobState(JOB_ID, entry.caller);
    expect(type).toBe(entry.expected);
  });

  // Guards against a key that cancels a job of another organisation, and
  // against one that takes its cancellation away (UNASKED).
  test.each([
    {
      what: "a known job for another organisation",
      isEarly: false,
      callers: [SOUTH],
      expected: "running",
    },
    {
      what: "an unknown job for another organisation",
      isEarly: true,
      callers: [SOUTH],
      expected: "running",
    },
    {
      what: "a known job for its organisation",
      isEarly: false,
      callers: [NORTH],
      expected: "cancelled",
    },
    {
      what: "an unknown job for its organisation and another one",
      isEarly: true,
      callers: [NORTH, SOUTH],
      expected: "cancelled",
    },
  ])("reads a cancellation of $what: $expected", async (entry) => {
    fixture.addExecutor("e1");
    const first = await fixture.startOwner(1);
    if (!entry.isEarly) submit("north");
    await advanceTime(1_000);
    for (const caller of entry.callers) cancel(caller);
    fixture.store.dropHistory(JOBS);
    if (entry.isEarly) submit("north");
    await advanceTime(2_000);
    expect(await stateOf(first)).toEqual(known(entry.expected));
    first.close();
    const second = await fixture.startOwner(2);
    await advanceTime(2_000);
    expect(await stateOf(second)).toEqual(known(entry.expected));
  });

  // Guards against a store that grows with each cancellation.
  test("removes the cancellations of all callers", async () => {
    await fixture.startOwner(1);
    submit("north");
    await advanceTime(1_000);
    cancel(SOUTH);
    cancel(NORTH);
    await advanceTime(1_000);
    expect(fixture.store.readNewestValues(JOBS).size).toBe(3);
    await advanceTime(RETENTION_MS + 20_000);
    expect([...fixture.store.readNewestValues(JOBS).keys()]).toEqual([]);
  });

  // Guards against a job that changes hands, as the store keeps the newest
  // record of each key.
  test("keeps a job whose id another organisation sends", async () => {
    const first = await fixture.startOwner(1);
    submit("north");
    await advanceTime(1_000);
    fixture.store.fault = "refusing";
    submit("south");
    await advanceTime(2_000);
    fixture.store.fault = undefined;
    await advanceTime(2_000);
    const stored = fixture.store.readNewestValues(JOBS).get(JOB_ID);
    expect(decodeAccepted(stored)?.organisation).toBe("north");
    first.close();
    const second = await fixture.startOwner(2);
    expect(await second.getJobState(JOB_ID, SOUTH)).toEqual({
      type: "missing",
    });
    expect(await second.getJobState(JOB_ID, NORTH)).toEqual(known("queued"));
    expect(second.isForeign(JOB_ID, SOUTH)).toBe(true);
    expect(second.isForeign(JOB_ID, NORTH)).toBe(false);
  });

  // Guards against jobs that are lost as their organisation leaves (LOST).
  test("runs the jobs of an organisation that was dropped", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    submit("north");
    await advanceTime(1_000);
    configure("south");
    owner.refresh();
    executor.end(`${JOB_ID}.0.0.0`, "done");
    await advanceTime(1_000);
    expect(await stateOf(owner)).toEqual(known("completed"));
  });
});
