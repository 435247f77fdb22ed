import { beforeEach, describe, expect, test } from "@jest/globals";
import { refuseBeyondWeight } from "../../accepted/refuse_beyond_weight.ts";
import {
  advanceTime,
  createAccepted,
  createStep,
  JOBS,
  type OwnerFixture,
  setUpOwners,
} from "../../_fixtures.ts";
import type { PartitionOwner } from "../../owned/partition_owner.ts";
import type { Step } from "../../submission.ts";
import { type AdmissionView, createAdmissionView } from "./admission_view.ts";

const HOT_JOB = { partition: 3, service: "quoting", organisation: "hot" };
const NO_CAP = { cpu: 0, memoryMb: 0, accelerators: 0 };
const LONG_STEP = { count: 1, size: { ...NO_CAP, cpu: 4_000 } };

let fixture: OwnerFixture;
let view: AdmissionView;
setUpOwners((created) => fixture = created);

beforeEach(() => {
  view = createAdmissionView();
  fixture.configuration = {
    ...fixture.configuration,
    organisations: [
      { name: "hot", apiKeys: [], weight: 2, cap: NO_CAP },
      { name: "calm", apiKeys: [], weight: 2, cap: NO_CAP },
    ],
  };
});

function idOf(index: number): string {
  return String(index).padStart(16, "0");
}

function storeJob(index: number, step: Partial<Step>): void {
  const accepted = createAccepted([createStep(step)]);
  const value = JSON.stringify({ ...accepted, organisation: "hot" });
  fixture.store.put(JOBS, { key: idOf(index), value });
}

/** Lets an organisation send jobs to an executor of 16 cores. */
async function sendJobs(
  count: number,
  step: Partial<Step> = LONG_STEP,
): Promise<PartitionOwner> {
  fixture.addExecutor("e1");
  const owner = await fixture.startOwner(1);
  for (let index = 0; index < count; index++) {
    storeJob(index, step);
  }
  await advanceTime(700);
  // The organisation goes on; by then, its weight allows one more job.
  for (let index = 0; index < 3 && count > 4; index++) {
    storeJob(100 + index, step);
  }
  await advanceTime(300);
  return owner;
}

/** Decides on a job as a member does that has heard from the owner before. */
function decide(
  owner: PartitionOwner,
  { id = idOf(99), organisation = "hot" } = {},
) {
  const findJob = async () => {
    const found = await owner.getJobState(id);
    if (found.type === "elsewhere") throw new Error("The job runs elsewhere.");
    view.note(HOT_JOB.partition, owner.fullServices());
    return found;
  };
  const job = { ...HOT_JOB, organisation };
  return refuseBeyondWeight(job, { view, findJob });
}

function hear(owner: PartitionOwner): void {
  view.note(HOT_JOB.partition, owner.fullServices());
}

describe("refuseBeyondWeight", () => {
  // Guards against jobs beyond a weight that wait until their callers give up,
  // and against refusing what others send within theirs.
  test("refuses only the organisation beyond its weight", async () => {
    const owner = await sendJobs(12);
    hear(owner);
    const outcome = await decide(owner);
    expect(outcome).toMatchObject({ type: "beyondWeight" });
    expect(await decide(owner, { organisation: "calm" })).toBeUndefined();
  });

  // Guards against callers who all come back at the same time, or earlier than
  // their organisation may send one more job.
  test("lets refused callers come back one after the other", async () => {
    const owner = await sendJobs(12);
    hear(owner);
    const times: number[] = [];
    for (let index = 0; index < 3; index++) {
      const outcome = await decide(owner);
      if (outcome?.type === "beyondWeight") times.push(outcome.retryAfterMs);
    }
    expect(times[0]).toBeGreaterThan(0);
    expect(times[1]! - times[0]!).toBeCloseTo(500, 3);
    expect(times[2]! - times[0]!).toBeCloseTo(1_000, 3);
  });

  // Guards against a 429 for a job that an earlier call without an answer has
  // stored, and that runs.
  test("accepts a job that the owner knows", async () => {
    const owner = await sendJobs(12);
    hear(owner);
    expect(await decide(owner, { id: idOf(3) })).toEqual({ type: "stored" });
  });

  // Guards against a job that is refused while nobody knows whether it runs.
  test("accepts a job while its owner does not answer", async () => {
    const owner = await sendJobs(12);
    hear(owner);
    const findJob = () => Promise.resolve({ type: "unavailable" } as const);
    expect(await refuseBeyondWeight(HOT_JOB, { view, findJob }))
      .toBeUndefined();
  });

  // Guards against refusals by what an owner said long ago.
  test("forgets what it has heard after two seconds", async () => {
    const { service, organisation, partition } = HOT_JOB;
    const spent = [{ organisation, readyInMs: 10_000, intervalMs: 1_000 }];
    view.note(partition, [{ service, spent }]);
    await advanceTime(1_999);
    expect(view.isBeyondWeight(HOT_JOB)).toBe(true);
    await advanceTime(1);
    expect(view.isBeyondWeight(HOT_JOB)).toBe(false);
  });

  // Guards against refusals while there is room, also where jobs wait that no
  // executor can ever run, and after a job was accepted in between.
  test.each([
    { why: "all jobs run", count: 12, step: { count: 1 } },
    { why: "short peak", count: 12, step: LONG_STEP },
    { why: "no such label", count: 12, step: { ...LONG_STEP, label: "none" } },
    {
      why: "lasting tasks",
      count: 12,
      step: { ...LONG_STEP, isLasting: true },
    },
  ])("refuses nothing: $why", async ({ why, count, step }) => {
    const owner = await sendJobs(count, step);
    if (why === "short peak") {
      // The waiting tasks are as new as those of a peak that has just begun.
      for (const { groups } of owner.jobs.values()) {
        for (const { tasks } of groups) {
          for (const task of tasks) task.waitingSinceMs = performance.now();
        }
      }
      await advanceTime(250);
    }
    expect(owner.fullServices()).toEqual([]);
    hear(owner);
    expect(await decide(owner)).toBeUndefined();
  });

  // Guards against any change where there are no organisations.
  test("refuses nothing without organisations", async () => {
    fixture.configuration = {
      ...fixture.configuration,
      organisations: undefined,
    };
    const owner = await sendJobs(12);
    expect(owner.fullServices()).toEqual([]);
  });
});
