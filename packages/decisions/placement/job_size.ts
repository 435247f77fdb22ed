import type { JobSize, JobState } from "../fold/job_state.ts";
import type { TaskReport, WorkerReport } from "./job_observations.ts";

/**
 * Time in milliseconds for which a task has to run before its usage replaces
 * the declared size. Programs use little while they load.
 */
export const USAGE_SETTLE_MS = 30_000;

/** Age in milliseconds up to which reported usage may lower a charge. */
export const MAX_USAGE_AGE_MS = 120_000;

/** Room for growth above the reported usage. */
export const USAGE_MARGIN = 1.25;

/** Least share of the known size that is charged, whatever is reported. */
const MIN_CHARGED_SHARE = { cores: 0.1, memory_gb: 0.25 };

/** Rounding error of sums of sizes. */
const ROUNDING_ERROR = 1e-6;

/**
 * Returns the size that a job is known to need: what an earlier attempt used,
 * or else what its team declared.
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
 * Returns the size that a running job is charged with on its worker. Recent
 * usage of a settled task counts with a margin; older usage can only raise the
 * charge, since the job may have grown since.
 *
 * @example
 * ```ts
 * const size = runningSize(job, { task, report, nowMs });
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
 * Reports whether a size fits into a room.
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
 * Adds a size to a room, in place, or takes it away with the factor -1.
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
