import {
  applyRecord,
  emptyFleetState,
  type FleetState,
  planJobs,
  type WorkerReport,
} from "@lagoonloom/decisions";
import { createJobSet } from "@lagoonloom/standins/jobs";
import type { MeasureRow } from "../measure_row.ts";

const SIZES = [360, 1_200, 3_600];

const ROUNDS = 60;

/** First rounds, in which the code is not yet compiled. */
const WARM_UP_ROUNDS = 20;

const RUNNING_PER_WORKER = 3;

const QUEUED = 5_000;

const URGENT = 100;

/** Data centres of the target scale, each with its own decider. */
const DATA_CENTRES = Array.from({ length: 9 }, (_, index) => `dc-${index + 1}`);

const TERM = { scope: DATA_CENTRES[0]!, epoch: 1 };

/**
 * Times the rounds of decisions on jobs in one of nine data centres. All
 * workers are full, the queue is long, and urgent jobs need preemption. The
 * values depend on the machine; the slope is in ms per 1,000 workers.
 *
 * @example
 * ```ts
 * const rows = measureJobsDecideTime();
 * ```
 */
export function measureJobsDecideTime(): MeasureRow[] {
  const results = SIZES.map((workers) => ({
    workers,
    ms: timeRounds(workers).sort((a, b) => a - b),
  }));
  const medians = results.map(({ ms }) => ms[ms.length >> 1]!);
  const slope = 1_000 * (medians.at(-1)! - medians[0]!) /
    (SIZES.at(-1)! - SIZES[0]!);
  return [
    ...results.flatMap(({ workers, ms }, index) => [
      row(`workers-${workers}`, "jobs-decide-time", medians[index]!),
      row(`workers-${workers}`, "jobs-decide-time-max", ms.at(-1)!),
    ]),
    row("two-year", "jobs-decide-time-slope", slope),
  ];
}

function row(deployment: string, measure: string, ms: number): MeasureRow {
  const value = Math.round(1_000 * ms) / 1_000;
  return { measure, deployment, policy: "chosen", value, unit: "ms" };
}

function timeRounds(workers: number): number[] {
  const state = createState(workers);
  const observations = new Map<string, WorkerReport>();
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const nowMs = state.timeMs + 1_000 * (round + 1);
    for (const [name, worker] of state.workers) {
      if (state.set.hosts[name]?.data_centre !== TERM.scope) continue;
      observations.set(name, reportOf(worker.running, nowMs));
    }
    const startedAtMs = performance.now();
    planJobs(state, observations, {
      term: TERM,
      nowMs,
      leaseMs: 10_000,
      leaseEndsAtMs: () => Infinity,
      silentAfterMs: 10_000,
    });
    if (round >= WARM_UP_ROUNDS) times.push(performance.now() - startedAtMs);
  }
  return times;
}

function reportOf(running: readonly string[], nowMs: number): WorkerReport {
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
  const running = RUNNING_PER_WORKER * workers;
  for (let index = 0; index < running + QUEUED + URGENT; index++) {
    const isUrgent = index >= running + QUEUED;
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
