/**
 * Evidence from failed jobs that a worker is faulty, and its trials.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import type { WorkerState } from "../fold/job_state.ts";

/** Different jobs that have to fail on a worker before it is suspected. */
export const SUSPECT_AFTER_JOBS = 3;

/** Of these, those that have to run elsewhere before it is suspended. */
const MIN_CONFIRMED_JOBS = 2;

/** Run time in milliseconds on another worker that clears a job of fault. */
const MIN_RUN_ELSEWHERE_MS = 5_000;

/** Jobs that failed on a worker, as evidence that the worker is faulty. */
export type WorkerFailures = {
  /** Failed jobs that have succeeded or run on another worker. */
  confirmed: string[];
  /** Failed jobs that have not run on another worker yet. */
  unconfirmed: string[];
};

/**
 * Returns the jobs that failed on a worker since its last success. A job that
 * failed on another worker too is likely at fault itself and is left out.
 *
 * @example
 * ```ts
 * const { confirmed } = collectFailures(state, "host-1", { nowMs });
 * ```
 */
export function collectFailures(
  state: FleetState,
  name: string,
  { nowMs }: { nowMs: number },
): WorkerFailures {
  const found: WorkerFailures = { confirmed: [], unconfirmed: [] };
  const worker = state.workers.get(name);
  // Most workers have no failure, and every round asks for each of them.
  const hasFailed = worker?.recent.some(({ outcome }) => outcome === "failed");
  if (hasFailed !== true) return found;
  const failed = new Set<string>();
  for (const { job, outcome, atMs } of worker?.recent.toReversed() ?? []) {
    if (outcome === "succeeded") break;
    // Failures before the last restoration no longer count.
    if (worker!.state !== "suspended" && atMs < worker!.sinceMs) break;
    if (outcome === "failed") failed.add(job);
  }
  for (const jobName of failed) {
    const job = state.jobs.get(jobName);
    if (job === undefined || job.failedWorkers.length > 1) continue;
    const isElsewhere = job.state === "running" && job.worker !== name &&
      nowMs - job.sinceMs >= MIN_RUN_ELSEWHERE_MS;
    if (isElsewhere || job.state === "succeeded") found.confirmed.push(jobName);
    else if (job.state !== "cancelled") found.unconfirmed.push(jobName);
  }
  return found;
}

/**
 * Reports whether a worker gets no new jobs until it is known whether the jobs
 * that failed on it run elsewhere.
 *
 * @example
 * ```ts
 * if (isSuspect(failures)) continue;
 * ```
 */
export function isSuspect(
  { confirmed, unconfirmed }: WorkerFailures,
): boolean {
  return confirmed.length + unconfirmed.length >= SUSPECT_AFTER_JOBS;
}

/**
 * Reports whether a worker is to be suspended, since enough of the jobs that
 * failed on it run elsewhere.
 *
 * @example
 * ```ts
 * if (isFaulty(failures)) suspend(worker);
 * ```
 */
export function isFaulty(failures: WorkerFailures): boolean {
  return isSuspect(failures) &&
    failures.confirmed.length >= MIN_CONFIRMED_JOBS;
}

/** Delay in milliseconds before the first trial of a suspended worker. */
const FIRST_TRIAL_DELAY_MS = 60_000;

/** Longest delay in milliseconds before a trial. */
const MAX_TRIAL_DELAY_MS = 3_600_000;

/**
 * Returns the delay in milliseconds between a suspension and the next trial; it
 * doubles with each suspension in a row.
 *
 * @example
 * ```ts
 * const isDue = nowMs >= worker.sinceMs + trialDelayMs(worker);
 * ```
 */
export function trialDelayMs(worker: WorkerState): number {
  const doublings = Math.min(20, (worker.suspensions ?? 1) - 1);
  return Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * 2 ** doublings);
}
