import type { PlannedRecord } from "../../deciders/planned_record.ts";
import type { FleetState } from "../../fold/fleet_state.ts";
import type { JobSize, JobState } from "../../fold/job_state.ts";
import type { JobObservations, TaskReport } from "../job_observations.ts";
import type { PlanJobsOptions, TaskAction } from "../job_plan.ts";
import { addSize, chargedSize, knownSize } from "../job_size.ts";
import { collectFailures, isSuspect } from "../worker_failures.ts";
import { workersOf } from "./set_workers.ts";

/** Job that occupies a worker. */
export type Run = {
  name: string;
  job: JobState;
  size: JobSize;
  /** Its task, if the worker reported the current attempt. */
  task: TaskReport | undefined;
  /** Whether an urgent job or a drain takes its place in this round. */
  isPreempted: boolean;
};

/** Worker with its room in this round. */
export type Worker = {
  name: string;
  rack: string;
  size: JobSize;
  free: JobSize;
  /**
   * Room once the jobs that are asked to leave are gone, less what waiting
   * urgent jobs need. New jobs have to fit into both.
   */
  freeAfterPreemption: JobSize;
  runs: Run[];
  /** Jobs that may be preempted, least loss first, once they are needed. */
  victims: { run: Run; loss: number }[] | undefined;
  /** Whether it may get new jobs. */
  isSchedulable: boolean;
  isOnTrial: boolean;
};

/** What one round of decisions reads and collects. */
export type JobRound = {
  state: FleetState;
  observations: JobObservations;
  options: PlanJobsOptions;
  workers: Map<string, Worker>;
  /** Jobs whose placement was appended and is not folded yet. */
  pending: Set<string>;
  records: PlannedRecord[];
  actions: TaskAction[];
};

/** Collects the workers of the scope with their running jobs. */
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

/** Returns why a host gets nothing new according to the log, or undefined. */
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
