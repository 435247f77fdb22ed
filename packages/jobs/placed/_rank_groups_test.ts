import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { createAccepted, createStep } from "../_fixtures.ts";
import { createJob, dueTimeOf, type Job } from "../job.ts";
import { openDueGroups } from "../occurrences.ts";
import { createShares } from "../organisations/shares/shares.ts";
import { rankGroups } from "./_rank_groups.ts";
import { latenessOf, remainingStepsOf, remainingWork } from "./due_time.ts";

const UNIX_MS = 10_000;

const JobFields = fc.record({
  acceptedAtMs: fc.integer({ min: 0, max: UNIX_MS }),
  objectiveMs: fc.integer({ min: 100, max: 5_000 }),
  estimateMs: fc.integer({ min: 1, max: 3_000 }),
  cpu: fc.integer({ min: 1, max: 16_000 }),
  count: fc.integer({ min: 1, max: 4 }),
  isLasting: fc.boolean(),
  isFilling: fc.boolean(),
  priority: fc.integer({ min: 0, max: 2 }),
  organisation: fc.option(fc.constantFrom("a", "b", "c"), { nil: undefined }),
  isBeyondWeight: fc.boolean(),
});

type Fields = typeof JobFields extends fc.Arbitrary<infer Value> ? Value
  : never;

function createRankedJob(
  { cpu, count, estimateMs, isLasting, isFilling, ...fields }: Fields,
  offset: number,
): Job {
  const size = { cpu, memoryMb: 1, accelerators: 0 };
  const step = { size, count, estimateMs, isLasting, isFilling };
  const accepted = { ...createAccepted([createStep(step)]), ...fields };
  accepted.queue = String(fields.priority);
  const { objectiveMs, isBeyondWeight } = fields;
  const options = { offset, objectiveMs, isBeyondWeight, isInherited: false };
  const job = createJob(String(offset), { accepted, ...options });
  openDueGroups(job, {
    unixMs: UNIX_MS,
    monotonicMs: 0,
    blockedUntilMs: 0,
  });
  return job;
}

/** Job of two tasks that are due long after their estimate. */
const SHORT_JOB: Fields = {
  acceptedAtMs: UNIX_MS,
  objectiveMs: 5_000,
  estimateMs: 1_000,
  cpu: 1_000,
  count: 2,
  isLasting: false,
  isFilling: false,
  priority: 0,
  organisation: undefined,
  isBeyondWeight: false,
};

const priorityOf = ({ accepted }: Job) => Number(accepted.queue);

function rank(jobs: readonly Job[], hasShares: boolean): string[] {
  const weights = { a: 1, b: 2, c: 0 };
  const organisations = Object.entries(weights).map(([name, weight]) => ({
    name,
    weight,
    apiKeys: [],
    cap: { cpu: 0, memoryMb: 0, accelerators: 0 },
  }));
  return rankGroups(jobs, {
    unixMs: UNIX_MS,
    monotonicMs: 0,
    priorityOf,
    largestFree: { cpu: 1e9, memoryMb: 1e9, accelerators: 1e9 },
    executors: [],
    shares: hasShares ? createShares({ organisations }) : undefined,
  }).map(({ job }) => job.id);
}

/** Returns the rank of a job where there are no organisations. */
function plainRankOf(job: Job): number[] {
  const { isLasting, isFilling } = job.groups[0]!.step;
  const steps = remainingStepsOf(job, 0);
  const dueAtMs = dueTimeOf(job, 0);
  const { objectiveMs } = job;
  const remainingMs = dueAtMs - UNIX_MS;
  const lateness = latenessOf(steps, { objectiveMs, remainingMs });
  const isLate = lateness === "late" || lateness === "overdue";
  const work = Math.ceil(Math.log2(remainingWork(steps) + 1));
  return [
    (isLasting ? 0 : 1) + (isFilling ? 2 : 0),
    isLate ? 1 : lateness === "inTime" ? 0 : 2,
    priorityOf(job),
    ...(isLate ? [work, lateness === "overdue" ? 1 : 0] : []),
    dueAtMs,
    job.offset,
  ];
}

function compare(left: number[], right: number[]): number {
  const index = left.findIndex((value, at) => value !== right[at]);
  return index < 0 ? 0 : left[index]! - right[index]!;
}

describe("rankGroups", () => {
  // Guards against a changed order where there are no organisations.
  test("keeps the plain order without organisations", () => {
    fc.assert(fc.property(fc.array(JobFields), (fields) => {
      const jobs = fields.map((each, offset) =>
        createRankedJob({ ...each, isBeyondWeight: false }, offset)
      );
      const plain = [...jobs].sort((left, right) =>
        compare(plainRankOf(left), plainRankOf(right))
      );
      expect(rank(jobs, false)).toEqual(plain.map(({ id }) => id));
      // One organisation has nobody to share with.
      for (const job of jobs) job.accepted.organisation = "a";
      expect(rank(jobs, true)).toEqual(plain.map(({ id }) => id));
    }));
  });

  // Guards against an order that depends on the order in which jobs were read,
  // so that a new owner would decide otherwise.
  test("is a total order with organisations", () => {
    fc.assert(fc.property(fc.array(JobFields), (fields) => {
      const jobs = fields.map(createRankedJob);
      const ids = rank(jobs, true);
      expect([...ids].sort()).toEqual(jobs.map(({ id }) => id).sort());
      expect(rank([...jobs].reverse(), true)).toEqual(ids);
    }));
  });

  // Guards against jobs beyond the weight of their organisation that go ahead
  // of those which others may rely on, also of late ones.
  test("puts jobs beyond a weight behind the others", () => {
    fc.assert(fc.property(fc.array(JobFields), (fields) => {
      const jobs = fields.map((each, offset) =>
        createRankedJob(
          { ...each, isLasting: false, isFilling: false, objectiveMs: 10_000 },
          offset,
        )
      );
      const beyond = rank(jobs, true)
        .map((id) => Number(jobs[Number(id)]!.isBeyondWeight));
      expect(beyond).toEqual([...beyond].sort());
    }));
  });

  // Guards against work on a job that is in vain, since others which are due
  // earlier begin before it goes on.
  test("puts a job that has begun before others in time", () => {
    const jobs = [
      createRankedJob({ ...SHORT_JOB, objectiveMs: 3_000 }, 0),
      createRankedJob(SHORT_JOB, 1),
    ];
    expect(rank(jobs, false)).toEqual(["0", "1"]);
    jobs[1]!.isPlaced = true;
    jobs[1]!.groups[0]!.doneCount = 1;
    expect(rank(jobs, false)).toEqual(["1", "0"]);
  });

  // Guards against a job that uses a full service although it will be late.
  test("counts a job as in time only if its whole estimate fits", () => {
    const job = createRankedJob(SHORT_JOB, 0);
    const times = { objectiveMs: 800, remainingMs: 800 };
    const steps = remainingStepsOf(job, 0);
    expect(latenessOf(steps, times)).toBe("late");
    expect(latenessOf(steps, { ...times, hasBegun: true })).toBe("inTime");
  });
});
