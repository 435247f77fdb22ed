import { describe, expect, test } from "@jest/globals";
import {
  createAccepted,
  createReport,
  createStep,
  JOB_ID,
} from "./_fixtures.ts";
import { createRun } from "./create_run.ts";
import { addRun, createExecutorState } from "./executor_state.ts";
import { createJob, type Job } from "./job.ts";
import {
  closeDoneGroups,
  isComplete,
  isGroupReady,
  MAX_WAITING_TASKS,
  openDueGroups,
  openGroup,
} from "./occurrences.ts";
import type { TaskGroup } from "./model.ts";
import type { Step } from "./submission.ts";

const INTERVAL_MS = 1_000;

const OPENING_TIMES = { monotonicMs: 0, blockedUntilMs: 0 };

/** Creates a job that runs very often, each second from 1970 on. */
function jobOf(steps: Step[], occurrences = 100_000_000): Job {
  const accepted = createAccepted(steps);
  Object.assign(accepted.submission, { occurrences, intervalMs: INTERVAL_MS });
  return createJob(JOB_ID, {
    accepted,
    offset: 0,
    objectiveMs: 0,
    isInherited: false,
  });
}

/** Opens what is due after all occurrences are, or by the time given. */
function open(job: Job, unixMs = Infinity): boolean {
  return openDueGroups(job, { unixMs, ...OPENING_TIMES });
}

function groupsOf(job: Job, stepIndex: number): TaskGroup[] {
  return job.groups.filter((group) => group.stepIndex === stepIndex);
}

/** Lets each task of a group run. */
function start(group: TaskGroup, count = group.tasks.length): void {
  const executor = createExecutorState(createReport("e1"));
  for (const task of group.tasks.slice(0, count)) {
    addRun(createRun(task, executor, { number: 1 }));
  }
}

/** Ends the tasks of a group as done. */
function complete(group: TaskGroup): void {
  group.doneCount = group.tasks.length;
  for (const task of group.tasks) {
    task.isDone = true;
    task.runs = [];
  }
}

describe("openDueGroups", () => {
  // Guards against an owner whose memory a schedule fills, as all of its times
  // have come.
  test("creates no more waiting tasks than a round starts", () => {
    const job = jobOf([createStep({ count: 2 })]);
    expect(open(job)).toBe(true);
    expect(job.groups).toHaveLength(MAX_WAITING_TASKS / 2);
    expect(open(job)).toBe(true);
    expect(job.groups).toHaveLength(MAX_WAITING_TASKS / 2);
  });

  // Guards against a schedule that starts less than the executors can run.
  test("goes on while all that exists is at work", () => {
    const job = jobOf([createStep({ count: 1 })]);
    for (let round = 1; round <= 5; round++) {
      open(job);
      expect(job.groups).toHaveLength(round * MAX_WAITING_TASKS);
      job.groups.forEach((group) => start(group));
    }
  });

  // Guards against times that run before they come (ORDER).
  test("creates nothing before its time", () => {
    const job = jobOf([createStep({ count: 1 })]);
    expect(open(job, 2.5 * INTERVAL_MS)).toBe(false);
    expect(job.groups.map(({ occurrence }) => occurrence)).toEqual([0, 1, 2]);
  });

  // Guards against a step that is held back although executors are free for
  // it, as another step of the job waits for executors of another kind.
  test("follows the progress of each step by itself", () => {
    const job = jobOf([
      createStep({ count: 1, label: "missing" }),
      createStep({ count: 1 }),
    ]);
    for (let round = 0; round < 20; round++) {
      open(job);
      groupsOf(job, 1).forEach(complete);
      closeDoneGroups(job);
    }
    expect(job.nextOccurrences).toEqual([
      MAX_WAITING_TASKS,
      20 * MAX_WAITING_TASKS,
    ]);
    expect(job.groups).toHaveLength(MAX_WAITING_TASKS);
  });

  // Guards against a step that starts before those which it depends on, or
  // never, as their groups were dropped (ORDER, LOST).
  test("keeps the order of steps also after the first ones are over", () => {
    const job = jobOf([
      createStep({ count: 1 }),
      createStep({ count: 1, dependsOn: [0] }),
    ], 3);
    open(job);
    expect(groupsOf(job, 1).some(isGroupReady)).toBe(false);
    complete(groupsOf(job, 0)[1]!);
    closeDoneGroups(job);
    expect(groupsOf(job, 0)).toHaveLength(2);
    expect(groupsOf(job, 1).filter(isGroupReady)).toEqual([
      job.groups.find(({ stepIndex, occurrence }) =>
        stepIndex === 1 && occurrence === 1
      ),
    ]);
  });

  // Guards against groups that pile up behind a step that can't run.
  test("opens only so many groups behind a step that waits", () => {
    const job = jobOf([
      createStep({ count: 1 }),
      createStep({ count: 1, dependsOn: [0], label: "missing" }),
    ]);
    for (let round = 0; round < 20; round++) {
      open(job);
      groupsOf(job, 0).forEach(complete);
      closeDoneGroups(job);
    }
    expect(groupsOf(job, 1).length).toBeLessThanOrEqual(2 * MAX_WAITING_TASKS);
  });

  // Guards against free executors that a limit by executor closes to the tasks
  // of one occurrence but not to those of the next one.
  test("goes on if an occurrence is at work wherever it may be", () => {
    const step = createStep({ count: MAX_WAITING_TASKS, maxPerExecutor: 1 });
    const job = jobOf([step]);
    open(job);
    expect(job.groups).toHaveLength(1);
    start(job.groups[0]!, 8);
    open(job);
    expect(job.groups).toHaveLength(2);
  });
});

describe("closeDoneGroups", () => {
  // Guards against work that is done again, as the number of opened
  // occurrences doesn't cover what an earlier owner did ahead of it (TWICE).
  test("keeps what was done before its turn until the others are open", () => {
    const job = jobOf([createStep({ count: 1 })], 10);
    open(job, 2 * INTERVAL_MS);
    complete(openGroup(job, { occurrence: 6, stepIndex: 0 }, OPENING_TIMES));
    job.groups.slice(0, 3).forEach(complete);
    closeDoneGroups(job);
    expect(job.groups.map(({ occurrence }) => occurrence)).toEqual([6]);
    open(job, 7 * INTERVAL_MS);
    closeDoneGroups(job);
    expect(job.groups.map(({ occurrence }) => occurrence))
      .toEqual([3, 4, 5, 7]);
  });

  // Guards against a run that nothing follows to its end.
  test("keeps a done group of which a copy still runs", () => {
    const job = jobOf([createStep({ count: 1 })], 1);
    open(job);
    const [group] = job.groups;
    complete(group!);
    start(group!);
    expect(closeDoneGroups(job)).toEqual([]);
    complete(group!);
    expect(closeDoneGroups(job)).toEqual([group]);
    expect(isComplete(job)).toBe(true);
  });
});
