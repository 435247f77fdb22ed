/**
 * Load of jobs of several sizes on a few executors, played against placement
 * alone in steps of its own clock.
 *
 * @module
 */

import {
  createAccepted,
  createReport,
  createStep,
} from "../../_record_fixtures.ts";
import { createRun } from "../../create_run.ts";
import {
  addRun,
  createExecutorState,
  type ExecutorState,
  removeRun,
} from "../../executor_state.ts";
import { createJob, type Job, type Run } from "../../job.ts";
import { openDueGroups } from "../../occurrences.ts";
import { placeTasks } from "../place_tasks.ts";
import {
  createReservationBook,
  type ReservationBook,
  type ReservationEvent,
} from "./reservation_book.ts";

/** Step of the played clock in milliseconds. */
const TICK_MS = 20;

/** Jobs that come at even intervals, each with one step. */
export type JobSeries = {
  name: string;
  everyMs: number;
  tasks: number;
  cpu: number;
  /** Actual duration of the task with a number. */
  durationMs(number: number): number;
  /** Declared duration. */
  estimateMs: number;
  /** Time from arrival in which a job should complete. */
  objectiveMs: number;
  isGang?: boolean;
};

/** Waits for the start of the last task of each job, by series. */
export type PlayedLoad = {
  waitsMs: Map<string, number[]>;
  /** Jobs of a series that have not started whole, by series. */
  unstarted: Map<string, number>;
  /** Part of the capacity in use, in the mean over all steps. */
  utilization: number;
  events: ReservationEvent[];
};

type PlayedJob = { job: Job; series: JobSeries; arrivedAtMs: number };

/** Plays a load for some time, with reservations or without them. */
export function playLoad(
  load: readonly JobSeries[],
  { lengthMs, executorCount, reserves }: {
    lengthMs: number;
    executorCount: number;
    reserves: boolean;
  },
): PlayedLoad {
  const executors = Array.from({ length: executorCount }, (_, index) => {
    const executor = createExecutorState(createReport(`e${index}`));
    executor.clockOffsetMs = 0;
    return executor;
  });
  const events: ReservationEvent[] = [];
  const book = createReservationBook((event) => events.push(event));
  const played: PlayedJob[] = [];
  const ends = new Map<Run, number>();
  const waitsMs = new Map(load.map(({ name }) => [name, [] as number[]]));
  let usedCpu = 0;
  let startedCount = 0;
  for (let nowMs = 0; nowMs < lengthMs; nowMs += TICK_MS) {
    endRuns(ends, { nowMs, book });
    for (const series of load) {
      if (nowMs % series.everyMs !== 0) continue;
      played.push({
        job: createPlayedJob(series, nowMs, played.length),
        series,
        arrivedAtMs: nowMs,
      });
    }
    const open = played.filter(({ job }) => job.endedAtMs === undefined);
    const placements = placeTasks(open.map(({ job }) => job), {
      executors,
      monotonicMs: nowMs,
      unixMs: nowMs,
      priorityOf: () => 0,
      reservationsOf: reserves ? () => book : undefined,
    });
    for (const { task, executor } of placements) {
      const run = createRun(task, executor, { number: 1 });
      run.startedAtMs = nowMs;
      addRun(run);
      const { series } = open.find(({ job }) => job === task.group.job)!;
      ends.set(run, nowMs + series.durationMs(startedCount++));
    }
    book.endRound(nowMs);
    for (const { job, series, arrivedAtMs } of open) {
      const tasks = job.groups.flatMap(({ tasks }) => tasks);
      if (tasks.some(({ runs, isDone }) => !isDone && runs.length === 0)) {
        continue;
      }
      // Only the wait counts here, so that its runs are all that is left of it.
      job.endedAtMs = nowMs;
      waitsMs.get(series.name)!.push(nowMs - arrivedAtMs);
    }
    usedCpu += usedCpuOf(executors);
  }
  const steps = lengthMs / TICK_MS;
  const capacityCpu = executors.reduce(
    (sum, { report }) => sum + report.capacity.cpu,
    0,
  );
  const unstarted = new Map(load.map(({ name }) => [
    name,
    played.filter(({ job, series }) =>
      series.name === name && job.endedAtMs === undefined
    ).length,
  ]));
  const utilization = usedCpu / steps / capacityCpu;
  return { waitsMs, unstarted, utilization, events };
}

function createPlayedJob(
  { tasks, cpu, estimateMs, objectiveMs, isGang = false }: JobSeries,
  nowMs: number,
  number: number,
): Job {
  const step = createStep({
    count: tasks,
    size: { cpu, memoryMb: 1, accelerators: 0 },
    estimateMs,
    isGang,
  });
  const id = number.toString(16).padStart(16, "0");
  const job = createJob(id, {
    accepted: { ...createAccepted([step]), acceptedAtMs: nowMs },
    offset: number,
    objectiveMs,
    isInherited: false,
  });
  openDueGroups(job, { unixMs: nowMs, monotonicMs: nowMs, blockedUntilMs: 0 });
  return job;
}

function endRuns(
  ends: Map<Run, number>,
  { nowMs, book }: { nowMs: number; book: ReservationBook },
): void {
  for (const [run, endsAtMs] of ends) {
    if (endsAtMs > nowMs) continue;
    ends.delete(run);
    removeRun(run);
    run.task.isDone = true;
    run.task.durationMs = nowMs - run.startedAtMs;
    const { estimateMs } = run.task.group.step;
    book.ratios.noteEnd(estimateMs, run.task.durationMs);
  }
}

function usedCpuOf(executors: readonly ExecutorState[]): number {
  return executors.reduce((sum, { occupied }) => sum + occupied.cpu, 0);
}

/** Returns a percentile of some figures; 0 of none. */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(sorted.length * percent / 100) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
