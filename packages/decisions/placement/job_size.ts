/**
 * Sizes of jobs: expected, charged on a worker, and their sums.
 *
 * @module
 */

import type { JobSize, JobState } from "../fold/job_state.ts";
import type { TaskReport, WorkerReport } from "./job_observations.ts";

/**
 * Time in milliseconds for which a task has to run before its usage replaces
 * the declared size, since programs use little while they load.
 */
export const USAGE_SETTLE_MS = 30_000;

/** Age in milliseconds up to which reported usage may lower a job's charge. */
export const MAX_USAGE_AGE_MS = 120_000;

/** Factor on the reported usage that leaves the job room to grow. */
export const USAGE_MARGIN = 1.25;

/** Share of the known size that is charged at least, whatever is reported. */
const MIN_CHARGED_SHARE = { cores: 0.1, memory_gb: 0.25 };

/** Tolerance for rounding errors in sums of sizes. */
const ROUNDING_ERROR = 1e-6;

/**
 * Returns the size that a job is expected to need: the one learned from an
 * earlier attempt, or else the declared one.
 *
 * @example
 * ```ts
 * const { cores } = knownSize(job);
 * ```
 */
export function knownSize(job: JobState): JobSize {
  return job.used ?? job.declared;
}

/** Options of {@linkcode chargedSize}. */
export type ChargedSizeOptions = {
  task: TaskReport | undefined;
  report: WorkerReport | undefined;
  nowMs: number;
};

/**
 * Returns the size that a running job is charged with on its worker: recent
 * usage plus a margin once the task has run for a while. Other usage can only
 * raise the charge: an old report, since the job may have grown, or that of a
 * throttled task.
 *
 * @example
 * ```ts
 * const size = chargedSize(job, { task, report, nowMs });
 * ```
 */
export function chargedSize(
  job: JobState,
  { task, report, nowMs }: ChargedSizeOptions,
): JobSize {
  const known = knownSize(job);
  if (task?.attempt !== job.attempt || report === undefined) return known;
  const { cores, memory_gb } = task.used;
  const isSettled = report.takenAtMs - task.startedAtMs >= USAGE_SETTLE_MS;
  const isRecent = nowMs - report.takenAtMs <= MAX_USAGE_AGE_MS;
  if (!isSettled || !isRecent || task.state === "throttled") {
    return {
      cores: Math.max(known.cores, cores),
      memory_gb: Math.max(known.memory_gb, memory_gb),
      accelerators: known.accelerators,
    };
  }
  return {
    cores: Math.max(
      cores * USAGE_MARGIN,
      known.cores * MIN_CHARGED_SHARE.cores,
    ),
    memory_gb: Math.max(
      memory_gb * USAGE_MARGIN,
      known.memory_gb * MIN_CHARGED_SHARE.memory_gb,
    ),
    accelerators: known.accelerators,
  };
}

/**
 * Reports whether a size fits into a free capacity.
 *
 * @example
 * ```ts
 * fitsInto(job.declared, worker.free);
 * ```
 */
export function fitsInto(size: JobSize, capacity: JobSize): boolean {
  return size.cores <= capacity.cores + ROUNDING_ERROR &&
    size.memory_gb <= capacity.memory_gb + ROUNDING_ERROR &&
    size.accelerators <= capacity.accelerators;
}

/**
 * Adds a size to a capacity in place, or subtracts it with the factor -1.
 *
 * @example
 * ```ts
 * addSize(worker.free, size, -1);
 * ```
 */
export function addSize(
  capacity: JobSize,
  size: JobSize,
  factor: number,
): void {
  capacity.cores += factor * size.cores;
  capacity.memory_gb += factor * size.memory_gb;
  capacity.accelerators += factor * size.accelerators;
}
