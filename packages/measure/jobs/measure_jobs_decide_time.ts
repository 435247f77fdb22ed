/**
 * Measure of the time of decisions on jobs.
 *
 * @module
 */

import {
  applyRecord,
  emptyFleetState,
  type FleetState,
  planJobs,
  type WorkerReport,
} from "@lagoonloom/decisions";
import { createJobSet } from "@lagoonloom/standins/jobs";
import type { MeasureRow } from "../measure_row.ts";

/** Numbers of workers in the fleet for which rounds are timed. */
const WORKER_COUNTS = [360, 1_200, 3_600];

/** Number of rounds per fleet. */
const ROUNDS = 60;

/** First rounds, which don't count, since the code is not yet optimised. */
const WARM_UP_ROUNDS = 20;

/** Jobs that run on each worker when the rounds begin. */
const RUNNING_JOBS_PER_WORKER = 3;

/** Number of deferrable jobs that wait. */
const QUEUED_JOBS = 5_000;

/** Number of urgent jobs that wait. */
const URGENT_JOBS = 100;

/** Data centres of the target scale, each with its own decider. */
const DATA_CENTRES = Array.from({ length: 9 }, (_, index) => `dc-${index + 1}`);

/** Term of the decider whose rounds are timed. */
const TERM = { scope: DATA_CENTRES[0]!, epoch: 1 };

/**
 * Times the rounds in which the decider of one of nine data centres plans jobs.
 * All workers are fully used, the queue is long, and urgent jobs need
 * preemption. The rows hold the median and the longest time per number of
 * workers, and the slope in milliseconds per 1,000 workers. The values depend
 * on the machine.
 *
 * @example
 * ```ts
 * const rows = measureJobsDecideTime();
 * ```
 */
export function measureJobsDecideTime(): MeasureRow[] {
  const results = WORKER_COUNTS.map((workers) => ({
    workers,
    timesMs: timeRounds(workers).sort((a, b) => a - b),
  }));
  const medians = results.map(({ timesMs }) => timesMs[timesMs.length >> 1]!);
  const slope = 1_000 * (medians.at(-1)! - medians[0]!) /
    (WORKER_COUNTS.at(-1)! - WORKER_COUNTS[0]!);
  return [
    ...results.flatMap(({ workers, timesMs }, index) => [
      row(`workers-${workers}`, "jobs-decide-time", medians[index]!),
      row(`workers-${workers}`, "jobs-decide-time-max", timesMs.at(-1)!),
    ]),
    row("two-year", "jobs-decide-time-slope", slope),
  ];
}

function row(deployment: string, measure: string, ms: number): MeasureRow {
  const value = Math.round(1_000 * ms) / 1_000;
  return { measure, deployment, policy: "chosen", value, unit: "ms" };
}

/** Returns the time of each round in milliseconds. */
function timeRounds(workers: number): number[] {
  const state = createState(workers);
  const observations = new Map<string, WorkerReport>();
  const timesMs: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const nowMs = state.timeMs + 1_000 * (round + 1);
    for (const [name, worker] of state.workers) {
      if (state.set.hosts[name]?.data_centre !== TERM.scope) continue;
      observations.set(name, createReport(worker.running, nowMs));
    }
    const startedAtMs = performance.now();
    planJobs(state, observations, {
      term: TERM,
      nowMs,
      leaseMs: 10_000,
      leaseEndsAtMs: () => Infinity,
      silentAfterMs: 10_000,
    });
    if (round >= WARM_UP_ROUNDS) timesMs.push(performance.now() - startedAtMs);
  }
  return timesMs;
}

function createReport(running: readonly string[], nowMs: number): WorkerReport {
  const tasks = running.map((job) =>
    [job, {
      attempt: 1,
      state: "running" as const,
      used: { cores: 16, memory_gb: 30, accelerators: 0 },
      startedAtMs: 0,
    }] as const
  );
  return {
    isReachable: true,
    heardAtMs: nowMs,
    takenAtMs: nowMs,
    tasks: new Map(tasks),
  };
}

function createState(workers: number): FleetState {
  const state = emptyFleetState();
  const set = createJobSet({
    dataCentres: DATA_CENTRES,
    workers,
    cores: 64,
    memoryGb: 128,
    accelerators: Math.round(workers * 4_200 / 3_600),
    teams: 150,
    quotaShare: 1,
  });
  const change = { put: set, removed: [] };
  const operator = "measure";
  apply(state, { type: "set.changed", expectedVersion: 0, change, operator });
  const identity = { holder: "measure", incarnation: "i1" };
  for (const scope of DATA_CENTRES) {
    state.deciders.set(scope, { ...identity, epoch: 1, leaseEndMs: 1e12 });
  }
  const names = Object.keys(set.hosts);
  const running = RUNNING_JOBS_PER_WORKER * workers;
  for (let index = 0; index < running + QUEUED_JOBS + URGENT_JOBS; index++) {
    const isUrgent = index >= running + QUEUED_JOBS;
    submit(state, index, { cores: index < running ? 12 : 24, isUrgent });
    if (index >= running) continue;
    const worker = names[index % names.length]!;
    apply(state, {
      type: "job.placed",
      scope: set.hosts[worker]!.data_centre,
      epoch: 1,
      job: `j${index}`,
      attempt: 1,
      worker,
      leaseMs: 10_000,
      reason: "measure",
    });
  }
  return state;
}

function submit(
  state: FleetState,
  index: number,
  { cores, isUrgent }: { cores: number; isUrgent: boolean },
): void {
  apply(state, {
    type: "job.submitted",
    job: `j${index}`,
    team: `team-${1 + index % 150}`,
    urgency: isUrgent ? "urgent" : "deferrable",
    declared: { cores, memory_gb: 2 * cores, accelerators: 0 },
    declaredRunS: 600,
  });
}

function apply(state: FleetState, body: unknown): void {
  const offset = state.nextOffset;
  applyRecord(state, { offset, timeMs: offset, id: `r${offset}`, body });
}
