import type { FleetState } from "../fold/fleet_state.ts";
import type { WorkerState } from "../fold/job_state.ts";

/** Different jobs that have to fail on a worker before it is suspended. */
export const SUSPECT_AFTER_JOBS = 3;

/** Failed jobs of these that have to run elsewhere. */
const MIN_CONFIRMED_JOBS = 2;

/** Time in milliseconds of a run elsewhere that speaks for the job. */
const MIN_RUN_ELSEWHERE_MS = 5_000;

/** What the last starts on a worker say about it. */
export type WorkerFailures = {
  /** Failed jobs that succeeded or run elsewhere. */
  confirmed: string[];
  /** Failed jobs that have not been tried elsewhere yet. */
  unconfirmed: string[];
};

/**
 * Returns the jobs that failed on a worker since its last success. A job that
 * failed on another worker as well speaks against the job, so it is left out.
 *
 * @example
 * ```ts
 * const { confirmed } = suspectWorker(state, "host-1", { nowMs });
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
    // Failures before a restoration were judged already.
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
 * Reports whether a worker gets nothing new until it is known whether the jobs
 * that failed on it run elsewhere.
 *
 * @example
 * ```ts
 * if (isHeld(suspicion)) continue;
 * ```
 */
export function isSuspect(
  { confirmed, unconfirmed: open }: WorkerFailures,
): boolean {
  return confirmed.length + open.length >= SUSPECT_AFTER_JOBS;
}

/**
 * Reports whether the evidence is enough to suspend a worker.
 *
 * @example
 * ```ts
 * if (isFaulty(suspicion)) suspend(worker);
 * ```
 */
export function isFaulty(suspicion: WorkerFailures): boolean {
  return isSuspect(suspicion) &&
    suspicion.confirmed.length >= MIN_CONFIRMED_JOBS;
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
