/**
 * State of one round of placement: workers, their jobs and free capacity.
 *
 * @module
 */

import type { PlannedRecord } from "../../deciders/planned_record.ts";
import type { FleetState } from "../../fold/fleet_state.ts";
import type { JobSize, JobState } from "../../fold/job_state.ts";
import type { JobObservations, TaskReport } from "../job_observations.ts";
import type { PlanJobsOptions, TaskAction } from "../job_plan.ts";
import { addSize, chargedSize, knownSize } from "../job_size.ts";
import { collectFailures, isSuspect } from "../worker_failures.ts";
import { workersOf } from "./set_workers.ts";

/** Job that occupies a worker, running or with its placement pending. */
export type Run = {
  name: string;
  job: JobState;
  size: JobSize;
  /** Task of the current attempt, if the worker reported it. */
  task: TaskReport | undefined;
  /** Whether it is preempted, for an urgent job or a drain, in this round. */
  isPreempted: boolean;
};

/** Worker with its jobs and its free capacity in this round. */
export type Worker = {
  name: string;
  rack: string;
  size: JobSize;
  free: JobSize;
  /**
   * Free capacity once the preempted jobs have stopped, less what the urgent
   * jobs that they make room for need. New jobs have to fit into this and into
   * `free`.
   */
  freeAfterPreemption: JobSize;
  runs: Run[];
  /** Jobs that may be preempted, least loss first; computed when needed. */
  victims: { run: Run; loss: number }[] | undefined;
  /** Whether it may get new jobs. */
  isSchedulable: boolean;
  /** Whether it gets one trial job after a suspension. */
  isOnTrial: boolean;
};

/** Input of one round of placement, and the plan that it collects. */
export type JobRound = {
  state: FleetState;
  observations: JobObservations;
  options: PlanJobsOptions;
  workers: Map<string, Worker>;
  /** Jobs whose placement was appended but is not folded yet. */
  pending: Set<string>;
  records: PlannedRecord[];
  actions: TaskAction[];
};

/** Starts a round: collects the data centre's workers with their jobs. */
export function beginRound(
  state: FleetState,
  observations: JobObservations,
  options: PlanJobsOptions,
): JobRound {
  const round: JobRound = {
    state,
    observations,
    options,
    workers: new Map(),
    pending: new Set(),
    records: [],
    actions: [],
  };
  const { byScope } = workersOf(state.set);
  for (const { name, host } of byScope.get(options.term.scope) ?? []) {
    const { cores, memory_gb, accelerators, rack } = host;
    const size = { cores, memory_gb, accelerators };
    const worker: Worker = {
      name,
      rack,
      size,
      free: { ...size },
      freeAfterPreemption: { ...size },
      runs: [],
      victims: undefined,
      isSchedulable: isSchedulable(round, name),
      isOnTrial: state.workers.get(name)?.state === "trial",
    };
    for (const job of state.workers.get(name)?.running ?? []) {
      occupy(round, worker, job);
    }
    round.workers.set(name, worker);
  }
  addPending(round);
  return round;
}

function addPending(round: JobRound): void {
  for (const { body } of round.options.pending ?? []) {
    if (body.type !== "job.placed") continue;
    const job = round.state.jobs.get(body.job);
    const worker = round.workers.get(body.worker);
    if (job?.state !== "queued" || job.attempt + 1 !== body.attempt) continue;
    round.pending.add(body.job);
    if (worker !== undefined) occupy(round, worker, body.job);
  }
}

function occupy(round: JobRound, worker: Worker, name: string): void {
  const job = round.state.jobs.get(name);
  if (job === undefined) return;
  const report = round.observations.get(worker.name);
  const found = report?.tasks.get(name);
  const task = found?.attempt === job.attempt ? found : undefined;
  const { nowMs } = round.options;
  const size = job.state === "running"
    ? chargedSize(job, { task, report, nowMs })
    : knownSize(job);
  worker.runs.push({ name, job, size, task, isPreempted: false });
  addSize(worker.free, size, -1);
  addSize(worker.freeAfterPreemption, size, -1);
}

function isSchedulable(
  { state, observations, options }: JobRound,
  name: string,
) {
  if (findServiceBlocker(state, name) !== undefined) return false;
  const report = observations.get(name);
  if (report?.isReachable !== true) return false;
  if (options.nowMs - report.heardAtMs > options.silentAfterMs) return false;
  const worker = state.workers.get(name);
  if (worker === undefined) return true;
  if (worker.state === "suspended") return false;
  return worker.state === "trial" ||
    !isSuspect(collectFailures(state, name, options));
}

/**
 * Returns why a host gets no new jobs, such as a permit or its health as the
 * log has them, or undefined if it may get some.
 */
export function findServiceBlocker(
  state: FleetState,
  name: string,
): string | undefined {
  const host = state.hosts.get(name);
  if (host?.permit !== undefined) return `permit to ${host.permit.purpose}`;
  if (state.set.hosts[name]?.state === "leaving") return "leaving by the set";
  if (host === undefined || host.health !== "in-service") {
    return host?.health ?? "unknown";
  }
  return undefined;
}
