import { describe, expect, test } from "@jest/globals";
import { createAccepted, createReport, createStep } from "../_fixtures.ts";
import { createExecutorState } from "../executor_state.ts";
import { createJob, type Job } from "../job.ts";
import { openDueGroups } from "../occurrences.ts";
import type { PlacementBudget } from "../organisations/caps/placement_budget.ts";
import type { Step } from "../submission.ts";
import { placeTasks } from "./place_tasks.ts";

const CAPPED = "capped";

function jobOf(id: string, step: Partial<Step>, organisation = CAPPED): Job {
  const accepted = createAccepted([createStep({ count: 4, ...step })]);
  const job = createJob(id, {
    accepted: { ...accepted, organisation },
    offset: 0,
    objectiveMs: 10_000,
    isInherited: false,
  });
  openDueGroups(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job;
}

/** Places the tasks of jobs in which one organisation may start so many. */
function placeWithin(limit: number, jobs: Job[]) {
  let left = limit;
  const isCapped = ({ accepted }: Job) => accepted.organisation === CAPPED;
  const budget: PlacementBudget = {
    count: (job) => isCapped(job) ? left : Infinity,
    take(job) {
      if (isCapped(job)) left--;
    },
  };
  const executors = ["e1", "e2"].map((id) =>
    Object.assign(createExecutorState(createReport(id)), { clockOffsetMs: 0 })
  );
  const placements = placeTasks(jobs, {
    executors,
    monotonicMs: 0,
    unixMs: 0,
    priorityOf: () => 0,
    budget,
  });
  return jobs.map(({ id }) =>
    placements.filter(({ task }) => task.group.job.id === id).length
  );
}

describe("placeTasks with a budget", () => {
  // Guards against organisations above their caps (QUOTA), against gangs that
  // start in part, and against tasks of others that wait behind them.
  test.each<
    { what: string; step: Partial<Step>; limit: number; placed: number[] }
  >([
    {
      what: "as many tasks as it allows",
      step: {},
      limit: 3,
      placed: [3, 0, 4],
    },
    { what: "several groups of them", step: {}, limit: 6, placed: [4, 2, 4] },
    {
      what: "no gang in part",
      step: { isGang: true },
      limit: 3,
      placed: [0, 0, 4],
    },
    {
      what: "a gang as a whole",
      step: { isGang: true },
      limit: 5,
      placed: [4, 0, 4],
    },
    {
      what: "tasks for one rack",
      step: { isSameRack: true },
      limit: 3,
      placed: [3, 0, 4],
    },
    {
      what: "lasting tasks",
      step: { isLasting: true },
      limit: 3,
      placed: [3, 0, 4],
    },
    { what: "nothing if it is used up", step: {}, limit: 0, placed: [0, 0, 4] },
  ])("places $what", ({ step, limit, placed }) => {
    const jobs = [
      jobOf("first", step),
      jobOf("second", step),
      jobOf("other", {}, "other"),
    ];
    expect(placeWithin(limit, jobs)).toEqual(placed);
  });
});
