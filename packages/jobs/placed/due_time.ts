/**
 * Due times of jobs, from the critical path of their estimates.
 *
 * @module
 */

import type { Job, TaskGroup } from "../job.ts";
import { countRemainingTasks, isScheduled } from "../occurrences.ts";
import type { AcceptedJob, QueuePolicy, Step } from "../submission.ts";

/**
 * Returns the length in milliseconds of the critical path of a job, by the
 * estimates of its steps.
 */
export function criticalPathMs(steps: readonly Step[]): number {
  const endsMs: number[] = [];
  steps.forEach((step) => {
    const startMs = Math.max(
      0,
      ...step.dependsOn.map((index) => endsMs[index] ?? 0),
    );
    endsMs.push(startMs + (step.isLasting ? 0 : step.estimateMs));
  });
  return Math.max(0, ...endsMs);
}

/** Step of an occurrence, with the number of its tasks that are not done. */
export type RemainingStep = { step: Step; tasks: number };

/** Returns what is left of an occurrence, by step. */
export function remainingStepsOf(
  job: Job,
  occurrence: number,
): RemainingStep[] {
  if (!isScheduled(job)) return job.groups.map(remainingStepOf);
  return job.accepted.submission.steps.map((step, stepIndex) => ({
    step,
    tasks: countRemainingTasks(job, { occurrence, stepIndex }),
  }));
}

function remainingStepOf({ step, tasks, doneCount }: TaskGroup): RemainingStep {
  return { step, tasks: tasks.length - doneCount };
}

/**
 * Returns the length in milliseconds of the critical path through the steps of
 * an occurrence that are not done, by their estimates.
 */
export function remainingCriticalPathMs(
  steps: readonly RemainingStep[],
): number {
  const endsMs: number[] = [];
  for (const { step, tasks } of steps) {
    const startMs = Math.max(
      0,
      ...step.dependsOn.map((index) => endsMs[index] ?? 0),
    );
    const isOpen = !step.isLasting && tasks > 0;
    endsMs.push(startMs + (isOpen ? step.estimateMs : 0));
  }
  return Math.max(0, ...endsMs);
}

/**
 * Returns the time in milliseconds in which a job, or each occurrence of it,
 * should complete. Its queue allows a multiple of its critical path, plus a
 * constant latency.
 */
export function objectiveMs(
  accepted: AcceptedJob,
  { stretch, targetLatencyMs }: QueuePolicy,
): number {
  const pathMs = criticalPathMs(accepted.submission.steps);
  return stretch * pathMs + targetLatencyMs;
}

/** Multiple of its objective for which the caller of a job waits. */
const PATIENCE_FACTOR = 3;

/** Largest ratio of an objective to the one that follows from estimates. */
const ESTIMATE_ERROR_FACTOR = 1.5;

/**
 * Least share of its estimate that the rest of a job takes which has begun, as
 * estimates are rough.
 */
const MIN_WORK_SHARE = 0.6;

/**
 * Returns the processor time that the rest of an occurrence takes by its
 * estimates, in thousandths of a core times milliseconds.
 */
export function remainingWork(steps: readonly RemainingStep[]): number {
  let work = 0;
  for (const { step, tasks } of steps) {
    if (step.isLasting) continue;
    work += tasks * step.size.cpu * step.estimateMs;
  }
  return work;
}

/**
 * Lateness of an occurrence:
 *
 * - `inTime`: it can still complete by its due time.
 * - `late`: it will be late, but its caller still waits for it.
 * - `overdue`: its caller waits only if the estimates are too short.
 * - `abandoned`: nobody waits for it any more.
 */
export type Lateness = "inTime" | "late" | "overdue" | "abandoned";

/**
 * Returns how late an occurrence would be if its remaining tasks started now.
 *
 * @example
 * ```ts
 * const steps = remainingStepsOf(job, occurrence);
 * latenessOf(steps, { objectiveMs: 2_000, remainingMs: dueAtMs - unixMs });
 * ```
 */
export function latenessOf(
  steps: readonly RemainingStep[],
  { objectiveMs, remainingMs, hasBegun = false }: {
    objectiveMs: number;
    /** Time until the due time, negative after it. */
    remainingMs: number;
    /**
     * Whether the occurrence has begun. If not, it is in time only if its whole
     * estimate fits: otherwise, a flood would use its capacity for occurrences
     * that end late.
     */
    hasBegun?: boolean;
  },
): Lateness {
  const share = hasBegun ? MIN_WORK_SHARE : 1;
  const marginMs = remainingMs - share * remainingCriticalPathMs(steps);
  if (marginMs >= 0) return "inTime";
  const patienceMs = PATIENCE_FACTOR * objectiveMs;
  if (marginMs + patienceMs - objectiveMs >= 0) return "late";
  const isAbandoned =
    marginMs + ESTIMATE_ERROR_FACTOR * patienceMs - objectiveMs < 0;
  return isAbandoned ? "abandoned" : "overdue";
}
