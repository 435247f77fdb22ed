/**
 * Folds the submission, attempts and end of jobs, and the state of workers.
 *
 * @module
 */

import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import type { FleetState } from "../fleet_state.ts";
import type { JobState, WorkerState } from "../job_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { checkTerm } from "./fold_decider.ts";
import { APPLIED, getOwn, refuse } from "./outcomes.ts";
import { addUsage, findExceededQuota } from "./team_usage.ts";

/**
 * Limit on the ended jobs that are kept. A job that is submitted again after it
 * was removed runs again.
 */
const MAX_ENDED_JOBS = 5_000;

/**
 * Time in milliseconds since the restoration of a worker after which earlier
 * suspensions no longer count.
 */
const SUSPENSION_RESET_MS = 24 * 3_600_000;

/** Limit on the ended attempts that are kept for each worker. */
const MAX_RECENT_ATTEMPTS = 8;

/** Record of one type. */
/** Folds the submission of a new job of a known team. */
export function foldJobSubmitted(
  state: FleetState,
  record: ControlRecordOf<"job.submitted">,
  log: LogRecord,
): RecordOutcome {
  if (state.jobs.has(record.job)) return refuse("The job is known.");
  if (getOwn(state.set.teams, record.team) === undefined) {
    return refuse(`Team "${record.team}" is unknown.`);
  }
  state.jobs.set(record.job, {
    team: record.team,
    urgency: record.urgency,
    declared: record.declared,
    declaredRunS: record.declaredRunS,
    dataCentres: record.dataCentres,
    state: "queued",
    attempt: 0,
    worker: undefined,
    leaseEndMs: 0,
    submittedAtMs: log.timeMs,
    sinceMs: log.timeMs,
    failedWorkers: [],
    reason: "submitted",
  });
  return APPLIED;
}

/** Folds the start of the next attempt of a queued job. */
export function foldJobPlaced(
  state: FleetState,
  record: ControlRecordOf<"job.placed">,
  log: LogRecord,
): RecordOutcome {
  const problem = checkTerm(state, record, log.timeMs);
  if (problem !== undefined) return refuse(problem);
  const job = state.jobs.get(record.job);
  if (job === undefined) return refuse("The job is unknown.");
  if (job.state !== "queued") return refuse(`The job is ${job.state}.`);
  if (record.attempt !== job.attempt + 1) {
    return refuse(`Expected attempt ${job.attempt + 1}.`);
  }
  const host = getOwn(state.set.hosts, record.worker);
  if (host?.data_centre !== record.scope) {
    return refuse(`Worker "${record.worker}" is not in "${record.scope}".`);
  }
  const worker = getWorker(state, record.worker);
  if (worker.state === "suspended") return refuse("The worker is suspended.");
  if (state.hosts.get(record.worker)?.permit !== undefined) {
    return refuse("The worker is leaving.");
  }
  if (host.state === "leaving") return refuse("The set has it leave.");
  if (worker.state === "trial" && worker.running.length > 0) {
    return refuse("The worker is on trial with another job.");
  }
  const exceeded = findExceededQuota(state, job);
  if (exceeded !== undefined) return refuse(exceeded);
  addUsage(state, job, 1);
  state.workers.set(record.worker, worker);
  worker.running.push(record.job);
  job.worker = record.worker;
  job.attempt = record.attempt;
  job.leaseEndMs = log.timeMs + record.leaseMs;
  setJobState(job, "running", { reason: record.reason, log });
  return APPLIED;
}

/** Folds the end of an attempt, and queues the job unless it succeeded. */
export function foldJobEnded(
  state: FleetState,
  record: ControlRecordOf<"job.ended">,
  log: LogRecord,
): RecordOutcome {
  const job = state.jobs.get(record.job);
  if (job === undefined) return refuse("The job is unknown.");
  if (job.state !== "running") return refuse(`The job is ${job.state}.`);
  if (record.attempt !== job.attempt) {
    return refuse(`Attempt ${job.attempt} is current.`);
  }
  const { outcome, term } = record;
  if (outcome === "lost" && term === undefined) {
    return refuse("A loss needs the term of a decider.");
  }
  const problem = term && checkTerm(state, term, log.timeMs);
  if (problem !== undefined) return refuse(problem);
  removeFromWorker(state, record.job, { outcome, atMs: log.timeMs });
  const worker = job.worker;
  job.worker = undefined;
  if (record.used !== undefined) job.used = record.used;
  if (
    outcome === "failed" && worker !== undefined &&
    !job.failedWorkers.includes(worker)
  ) {
    job.failedWorkers.push(worker);
  }
  const next = outcome === "succeeded" ? "succeeded" : "queued";
  setJobState(job, next, { reason: record.reason, log });
  if (next === "succeeded") addToEndedJobs(state, record.job);
  return APPLIED;
}

/** Folds a cancellation; the job never starts again. */
export function foldJobCancelled(
  state: FleetState,
  record: ControlRecordOf<"job.cancelled">,
  log: LogRecord,
): RecordOutcome {
  const job = state.jobs.get(record.job);
  if (job === undefined) return refuse("The job is unknown.");
  if (job.state === "succeeded" || job.state === "cancelled") {
    return refuse(`The job is ${job.state}.`);
  }
  removeFromWorker(state, record.job, undefined);
  const reason = `cancelled by ${record.operator}`;
  setJobState(job, "cancelled", { reason, log });
  addToEndedJobs(state, record.job);
  return APPLIED;
}

/**
 * Folds the decision to make no further attempts to run a job. After that, an
 * operator can only cancel it.
 */
export function foldJobParked(
  state: FleetState,
  record: ControlRecordOf<"job.parked">,
  log: LogRecord,
): RecordOutcome {
  const problem = checkTerm(state, record, log.timeMs);
  if (problem !== undefined) return refuse(problem);
  const job = state.jobs.get(record.job);
  if (job === undefined) return refuse("The job is unknown.");
  if (job.state !== "queued") return refuse(`The job is ${job.state}.`);
  setJobState(job, "parked", { reason: record.reason, log });
  addToEndedJobs(state, record.job);
  return APPLIED;
}

/** Folds the suspension, trial or restoration of a worker. */
export function foldWorkerChanged(
  state: FleetState,
  record: ControlRecordOf<"worker.changed">,
  log: LogRecord,
): RecordOutcome {
  const problem = checkTerm(state, record, log.timeMs);
  if (problem !== undefined) return refuse(problem);
  if (getOwn(state.set.hosts, record.worker)?.data_centre !== record.scope) {
    return refuse(`Worker "${record.worker}" is not in "${record.scope}".`);
  }
  const worker = getWorker(state, record.worker);
  if (worker.state === record.state) return refuse("Nothing changes.");
  if (record.state === "suspended") {
    const isLongAgo = worker.state === "restored" &&
      log.timeMs - worker.sinceMs > SUSPENSION_RESET_MS;
    worker.suspensions = (isLongAgo ? 0 : worker.suspensions ?? 0) + 1;
  }
  state.workers.set(record.worker, worker);
  worker.state = record.state;
  worker.reason = record.reason;
  worker.sinceMs = log.timeMs;
  return APPLIED;
}

/** Returns the state of a worker, or the initial one if it has none yet. */
function getWorker(state: FleetState, name: string): WorkerState {
  return state.workers.get(name) ?? {
    state: "restored",
    reason: "never suspended",
    sinceMs: 0,
    recent: [],
    running: [],
  };
}

type AttemptEnd = {
  outcome: ControlRecordOf<"job.ended">["outcome"];
  atMs: number;
};

/** Removes a running job from its worker and from the usage of its team. */
function removeFromWorker(
  state: FleetState,
  name: string,
  end: AttemptEnd | undefined,
): void {
  const job = state.jobs.get(name);
  if (job?.state === "running") addUsage(state, job, -1);
  const worker = state.workers.get(job?.worker ?? "");
  if (worker === undefined) return;
  worker.running = worker.running.filter((job) => job !== name);
  if (end === undefined) return;
  worker.recent.push({ job: name, ...end });
  if (worker.recent.length > MAX_RECENT_ATTEMPTS) worker.recent.shift();
}

function setJobState(
  job: JobState,
  next: JobState["state"],
  { reason, log }: { reason: string; log: LogRecord },
): void {
  job.state = next;
  job.reason = reason;
  job.sinceMs = log.timeMs;
}

/** Adds a job to the ended ones, and removes the oldest above the limit. */
function addToEndedJobs(state: FleetState, name: string): void {
  if (!state.endedJobs.includes(name)) state.endedJobs.push(name);
  if (state.endedJobs.length <= MAX_ENDED_JOBS) return;
  const oldest = state.endedJobs.shift();
  if (oldest !== undefined) state.jobs.delete(oldest);
}
