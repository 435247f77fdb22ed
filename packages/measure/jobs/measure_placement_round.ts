/**
 * Measure of the processor time of one round of placement over many waiting
 * tasks, with reservations and without them.
 *
 * @module
 */

import {
  createAccepted,
  createReport,
  createStep,
} from "../../jobs/_record_fixtures.ts";
import { createRun } from "../../jobs/create_run.ts";
import {
  addRun,
  createExecutorState,
  type ExecutorState,
} from "../../jobs/executor_state.ts";
import { createJob, type Job } from "../../jobs/job.ts";
import { openDueGroups } from "../../jobs/occurrences.ts";
import { placeTasks } from "../../jobs/placed/place_tasks.ts";
import { createReservationBook } from "../../jobs/placed/reserved/reservation_book.ts";
import type { MeasureRow } from "../measure_row.ts";
import { createRandom, type Random } from "../random.ts";

const EXECUTORS = 300;
const JOBS = 5_000;
const TASKS_PER_JOB = 2;

/** Rounds that are measured after those that warm the compiler up. */
const ROUNDS = 50;
const WARM_UP_ROUNDS = 20;

/** Interval of the rounds of an owner that has much to place. */
const ROUND_INTERVAL_MS = 20;

/** Time at which the measured rounds take place. */
const NOW_MS = 2_000;

/** Load of a round: sizes in thousandths of a core. */
type RoundLoad = { name: string; freeCpu: number; sizes: readonly number[] };

const LOADS: readonly RoundLoad[] = [
  // All executors are full, so that nothing is looked at twice.
  { name: "full", freeCpu: 500, sizes: [1_000, 3_000, 16_000] },
  // Small tasks fill the gaps; large ones fit nowhere.
  { name: "gaps", freeCpu: 2_000, sizes: [1_000, 3_000, 16_000] },
  // What is free on few executors is too little for all, but for reservations.
  { name: "mixed", freeCpu: 9_000, sizes: [3_000, 7_000, 12_000, 16_000] },
];

/** Measures the mean time of a round of each load. */
export function measurePlacementRound(): MeasureRow[] {
  return LOADS.flatMap((load) =>
    [false, true].map((reserves) => ({
      measure: `placement-round ${load.name}`,
      deployment: `${EXECUTORS} executors, ${JOBS * TASKS_PER_JOB} tasks`,
      policy: reserves ? "chosen" : "baseline:without-reservations",
      value: measureRound(load, reserves),
      unit: "ms",
    }))
  );
}

function measureRound(load: RoundLoad, reserves: boolean): number {
  const random = createRandom(1);
  const executors = createExecutors(load, random);
  const jobs = createJobs(load, random);
  const book = createReservationBook(() => undefined);
  const timesMs: number[] = [];
  for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
    const startMs = process.cpuUsage();
    const nowMs = NOW_MS + round * ROUND_INTERVAL_MS;
    placeTasks(jobs, {
      executors,
      monotonicMs: nowMs,
      unixMs: nowMs,
      priorityOf: () => 0,
      reservationsOf: reserves ? () => book : undefined,
    });
    const { user, system } = process.cpuUsage(startMs);
    if (round >= WARM_UP_ROUNDS) timesMs.push((user + system) / 1_000);
  }
  return timesMs.reduce((sum, ms) => sum + ms, 0) / ROUNDS;
}

/** Creates executors that many runs occupy up to about what is to be free. */
function createExecutors(
  { freeCpu }: RoundLoad,
  random: Random,
): ExecutorState[] {
  return Array.from({ length: EXECUTORS }, (_, index) => {
    const executor = createExecutorState(createReport(`e${index}`));
    executor.clockOffsetMs = 0;
    for (let cpu = 16_000 - freeCpu; cpu > 0; cpu -= 500) {
      const job = createWaiting(index, {
        cpu: Math.min(500, cpu),
        estimateMs: 500 + 4_000 * random(),
        count: 1,
      });
      const run = createRun(job.groups[0]!.tasks[0]!, executor, { number: 1 });
      run.startedAtMs = NOW_MS - 400 * random();
      addRun(run);
    }
    return executor;
  });
}

function createJobs({ sizes }: RoundLoad, random: Random): Job[] {
  return Array.from({ length: JOBS }, (_, index) =>
    createWaiting(index, {
      cpu: sizes[Math.floor(random() * sizes.length)]!,
      estimateMs: 200 + 2_000 * random(),
      count: TASKS_PER_JOB,
    }));
}

function createWaiting(
  offset: number,
  { cpu, estimateMs, count }: {
    cpu: number;
    estimateMs: number;
    count: number;
  },
): Job {
  const size = { cpu, memoryMb: 1, accelerators: 0 };
  const step = createStep({ count, size, estimateMs });
  const job = createJob(offset.toString(16).padStart(16, "0"), {
    accepted: { ...createAccepted([step]), acceptedAtMs: 0 },
    offset,
    objectiveMs: 10_000 + offset,
    isInherited: false,
  });
  openDueGroups(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job;
}
