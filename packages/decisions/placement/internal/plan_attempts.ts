import type { ControlRecord } from "@lagoonloom/records";
import { planRecord } from "../../deciders/planned_record.ts";
import type { JobSize, JobState } from "../../fold/job_state.ts";
import type { TaskReport } from "../job_observations.ts";
import { knownSize, USAGE_MARGIN, USAGE_SETTLE_MS } from "../job_size.ts";
import type { JobRound } from "./job_round.ts";

/**
 * Time in milliseconds after the placement within which a worker accepts the
 * start. It bounds how late a job that is cancelled meanwhile can still start.
 */
export const START_WINDOW_MS = 5_000;

/** Lag in milliseconds allowed between the log's and this daemon's clock. */
const CLOCK_MARGIN_MS = 2_000;

/** Different good workers on which a job fails before it is parked. */
export const PARK_AFTER_WORKERS = 3;

type JobEndedRecord = Extract<ControlRecord, { type: "job.ended" }>;

const RUNNING_STATES: readonly string[] = ["running", "throttled"];

/** Starts placed jobs, and records the ends of attempts. */
export function planAttempts(round: JobRound): void {
  const { state } = round;
  for (const worker of round.workers.values()) {
    for (const { name, job } of worker.runs) {
      if (job.state === "running") planAttempt(round, name, job);
    }
    stopUnknownTasks(round, worker.name);
  }
  for (const [worker, { running }] of state.workers) {
    if (running.length === 0 || round.workers.has(worker)) continue;
    // Hosts with a worker elsewhere belong to other deciders.
    const isElsewhere = state.set.hosts[worker]?.worker_address !== undefined;
    if (isElsewhere) continue;
    for (const name of running) {
      planAttempt(round, name, state.jobs.get(name)!);
    }
  }
}

function planAttempt(round: JobRound, name: string, job: JobState): void {
  const { observations, options: { nowMs } } = round;
  const report = observations.get(job.worker!);
  const found = report?.tasks.get(name);
  const task = found?.attempt === job.attempt ? found : undefined;
  if (task !== undefined) {
    const end = toAttemptEnd(task);
    if (end !== undefined) {
      return endAttempt(round, name, { job, task, ...end });
    }
  } else if (report !== undefined) {
    const windowEndMs = job.sinceMs + START_WINDOW_MS;
    if (report.takenAtMs > windowEndMs + CLOCK_MARGIN_MS) {
      const reason = `${job.worker} does not have the task`;
      return endAttempt(round, name, { job, outcome: "lost", reason });
    }
    if (nowMs < windowEndMs && report.isReachable) {
      const { worker, attempt } = job;
      const reason = job.reason;
      round.actions.push({
        type: "start",
        worker: worker!,
        job: name,
        attempt,
        reason,
      });
      return;
    }
  }
  if (nowMs < round.options.leaseEndsAtMs(name)) return;
  const reason = `no answer from ${job.worker} beyond the end of the lease`;
  endAttempt(round, name, { job, outcome: "lost", reason });
}

function toAttemptEnd(
  task: TaskReport,
): Pick<JobEndedRecord, "outcome" | "reason"> | undefined {
  switch (task.state) {
    case "succeeded":
      return { outcome: "succeeded", reason: "the worker reports success" };
    case "failed":
      return { outcome: "failed", reason: "the worker reports a failure" };
    case "stopped":
      return { outcome: "preempted", reason: "stopped on its worker" };
    case "expired":
      return { outcome: "lost", reason: "its lease ended on its worker" };
    default:
      return undefined;
  }
}

type AttemptEnd = Pick<JobEndedRecord, "outcome" | "reason"> & {
  job: JobState;
  task?: TaskReport;
};

function endAttempt(
  round: JobRound,
  name: string,
  { job, task, outcome, reason }: AttemptEnd,
): void {
  const used = task && learnSize(round, job, task);
  const body: JobEndedRecord = {
    type: "job.ended",
    job: name,
    attempt: job.attempt,
    outcome,
    term: round.options.term,
    ...(used === undefined ? {} : { used }),
    reason,
  };
  round.records.push(planRecord(round.state, body));
}

/** Returns the size that a later attempt counts with, if it was learned. */
function learnSize(
  { observations }: JobRound,
  job: JobState,
  task: TaskReport,
): JobSize | undefined {
  const known = knownSize(job);
  const { accelerators } = known;
  const { cores, memory_gb } = task.used;
  const takenAtMs = observations.get(job.worker!)?.takenAtMs ?? 0;
  const isSettled = takenAtMs - task.startedAtMs >= USAGE_SETTLE_MS &&
    memory_gb > 0;
  if (isSettled) {
    return {
      cores: cores * USAGE_MARGIN,
      memory_gb: memory_gb * USAGE_MARGIN,
      accelerators,
    };
  }
  if (cores <= known.cores && memory_gb <= known.memory_gb) return undefined;
  return {
    cores: Math.max(cores, known.cores),
    memory_gb: Math.max(memory_gb, known.memory_gb),
    accelerators,
  };
}

/**
 * Stops tasks that the log does not know as running there: of cancelled jobs,
 * of older attempts, and of attempts that were given up.
 */
function stopUnknownTasks(round: JobRound, worker: string): void {
  const tasks = round.observations.get(worker)?.tasks ?? [];
  for (const [name, { attempt, state: taskState }] of tasks) {
    if (!RUNNING_STATES.includes(taskState)) continue;
    const job = round.state.jobs.get(name);
    const isCurrent = job?.state === "running" && job.worker === worker &&
      job.attempt === attempt;
    // A placement that is not folded here yet may have a newer attempt.
    if (isCurrent || attempt > (job?.attempt ?? Infinity)) continue;
    const reason = job === undefined
      ? "the job is not known"
      : `the job is ${job.state}`;
    round.actions.push({ type: "stop", worker, job: name, attempt, reason });
  }
}

/** Parks jobs that failed on several workers that are not suspected. */
export function planParking(round: JobRound): Set<string> {
  const parked = new Set<string>();
  const { state, options } = round;
  for (const [name, job] of state.jobs) {
    if (job.state !== "queued" || job.failedWorkers.length === 0) continue;
    const trusted = job.failedWorkers.filter((worker) =>
      (state.workers.get(worker)?.state ?? "restored") === "restored"
    );
    if (trusted.length < PARK_AFTER_WORKERS || round.pending.has(name)) {
      continue;
    }
    parked.add(name);
    const reason = `failed on ${trusted.slice(0, 5).join(", ")}`;
    round.records.push(planRecord(state, {
      type: "job.parked",
      ...options.term,
      job: name,
      reason,
    }));
  }
  return parked;
}
