/**
 * Plans the starts and ends of jobs' attempts on their workers.
 *
 * @module
 */

import type { ControlRecordOf } from "@lagoonloom/records";
import { planRecord } from "../../deciders/planned_record.ts";
import type { JobSize, JobState } from "../../fold/job_state.ts";
import type { TaskReport } from "../job_observations.ts";
import { knownSize, USAGE_MARGIN, USAGE_SETTLE_MS } from "../job_size.ts";
import type { JobRound } from "./job_round.ts";

/**
 * Time in milliseconds after the placement within which a worker accepts the
 * start. It bounds how late a job that was cancelled in the meantime can start.
 */
export const START_WINDOW_MS = 5_000;

/** Tolerated difference in milliseconds between log time and local time. */
const CLOCK_MARGIN_MS = 2_000;

/** Different trusted workers on which a job fails before it is parked. */
export const PARK_AFTER_WORKERS = 3;

type JobEndedRecord = ControlRecordOf<"job.ended">;

const RUNNING_STATES: readonly string[] = ["running", "throttled"];

/**
 * Plans the starts of placed jobs, the records of ended attempts, and the stops
 * of tasks that the log does not know. An attempt counts as lost only when its
 * worker reports that it does not have the task or that the lease ended, or
 * when no answer came until the lease has surely ended.
 */
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
    // A host with a worker in another data centre belongs to its decider. Every
    // decider handles hosts that left the set or have no worker any more.
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

/**
 * Returns the size that later attempts are planned with, if the reported usage
 * changes it. The usage of a task that ran too briefly can only raise it.
 */
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
 * Stops tasks that do not run on this worker according to the log: tasks of
 * cancelled jobs, of older attempts, and of attempts that were given up.
 */
function stopUnknownTasks(round: JobRound, worker: string): void {
  const tasks = round.observations.get(worker)?.tasks ?? [];
  for (const [name, { attempt, state: taskState }] of tasks) {
    if (!RUNNING_STATES.includes(taskState)) continue;
    const job = round.state.jobs.get(name);
    const isCurrent = job?.state === "running" && job.worker === worker &&
      job.attempt === attempt;
    // A newer attempt may come from a placement that is not folded here yet.
    if (isCurrent || attempt > (job?.attempt ?? Infinity)) continue;
    const reason = job === undefined
      ? "the job is not known"
      : `the job is ${job.state}`;
    round.actions.push({ type: "stop", worker, job: name, attempt, reason });
  }
}

/**
 * Parks jobs that failed on several workers which are neither suspended nor on
 * trial, so that the job itself is at fault. Returns the names of the jobs.
 */
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
