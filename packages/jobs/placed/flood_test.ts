import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createAccepted, createReport, createStep } from "../_fixtures.ts";
import { createRun } from "../create_run.ts";
import {
  addRun,
  createExecutorState,
  type ExecutorState,
  removeRun,
} from "../executor_state.ts";
import { createJob, type Job, type Run } from "../job.ts";
import { isComplete, openDueGroups } from "../occurrences.ts";
import { placeTasks } from "./place_tasks.ts";

const ROUND_MS = 50;
const STEP_MS = 800;
const STEP_COUNT = 2;
const TASKS_PER_STEP = 8;
const TASK_CORES = 1;
const OBJECTIVE_MS = 1.6 * STEP_MS * STEP_COUNT + 600;
const EXECUTOR_COUNT = 20;
const EXECUTOR_CORES = 16;
const FLOOD_MS = 5_000;

/** Jobs that the executors could complete in the flood and their objective. */
const SERVABLE_JOBS = EXECUTOR_COUNT * EXECUTOR_CORES *
  (FLOOD_MS + OBJECTIVE_MS) /
  (STEP_COUNT * TASKS_PER_STEP * TASK_CORES * STEP_MS);

function createFloodJob(offset: number, nowMs: number): Job {
  const steps = Array.from({ length: STEP_COUNT }, (_, index) =>
    createStep({
      size: { cpu: TASK_CORES * 1_000, memoryMb: 1, accelerators: 0 },
      count: TASKS_PER_STEP,
      estimateMs: STEP_MS,
      dependsOn: index === 0 ? [] : [index - 1],
    }));
  const job = createJob(String(offset), {
    accepted: { ...createAccepted(steps), acceptedAtMs: nowMs },
    offset,
    // Jobs differ a little, so that later ones are often due earlier.
    objectiveMs: OBJECTIVE_MS - (offset % 7) * 200,
    isInherited: false,
  });
  openDueGroups(job, { unixMs: nowMs, monotonicMs: nowMs, blockedUntilMs: 0 });
  return job;
}

function endRuns(executors: readonly ExecutorState[], nowMs: number): void {
  const isOver = ({ startedAtMs }: Run) => nowMs - startedAtMs >= STEP_MS;
  for (const executor of executors) {
    for (const run of [...executor.runs].filter(isOver)) {
      removeRun(run);
      run.task.isDone = true;
      run.task.group.doneCount++;
    }
  }
}

/** Plays a flood and returns the number of jobs that completed in time. */
function playFlood(load: number): number {
  const executors = Array.from({ length: EXECUTOR_COUNT }, (_, index) => {
    const executor = createExecutorState(createReport(`e${index}`));
    executor.clockOffsetMs = 0;
    return executor;
  });
  const jobs = new Set<Job>();
  const total = Math.round(load * SERVABLE_JOBS);
  let sent = 0;
  let inTime = 0;
  for (let nowMs = 0; nowMs < FLOOD_MS + 2 * OBJECTIVE_MS; nowMs += ROUND_MS) {
    const due = Math.min(total, Math.round(total * nowMs / FLOOD_MS));
    for (; sent < due; sent++) jobs.add(createFloodJob(sent, nowMs));
    jest.advanceTimersByTime(ROUND_MS);
    endRuns(executors, nowMs);
    for (const job of [...jobs].filter(isComplete)) {
      jobs.delete(job);
      if (nowMs - job.accepted.acceptedAtMs <= job.objectiveMs) inTime++;
    }
    const placements = placeTasks(jobs, {
      executors,
      monotonicMs: nowMs,
      unixMs: nowMs,
      priorityOf: () => 0,
    });
    for (const { task, executor } of placements) {
      const run = createRun(task, executor, { number: 1 });
      task.group.job.isPlaced = true;
      addRun({ ...run, startedAtMs: nowMs });
    }
  }
  return inTime;
}

describe("placeTasks() in a flood", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  // Guards against jobs that begin in time and end late, whose work is in vain:
  // of a larger flood, fewer were served in time.
  test.each([1.5, 2])("serves as many in time at %s times the load", (load) => {
    const inTime = playFlood(1);
    expect(inTime).toBeGreaterThan(SERVABLE_JOBS / 2);
    expect(playFlood(load)).toBeGreaterThan(0.9 * inTime);
  });
});
