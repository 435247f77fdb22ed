/**
 * Due times of jobs, from the critical path of their estimates.
 *
 * @module
 */

import type { TaskGroup } from "../job.ts";
import type { AcceptedJob, Step } from "../submission.ts";

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

/**
 * Returns the length in milliseconds of the critical path through the steps of
 * an occurrence that are not done, by their estimates.
 */
export function remainingCriticalPathMs(groups: readonly TaskGroup[]): number {
  const endsMs: number[] = [];
  for (const { step, doneCount, tasks } of groups) {
    const startMs = Math.max(
      0,
      ...step.dependsOn.map((index) => endsMs[index] ?? 0),
    );
    const isOpen = !step.isLasting && doneCount < tasks.length;
    endsMs.push(startMs + (isOpen ? step.estimateMs : 0));
  }
  return Math.max(0, ...endsMs);
}

/**
 * Returns the Unix time by which a job should have completed, or the first
 * occurrence of a job that runs repeatedly. Its queue allows
 * a multiple of its critical path, plus a constant latency.
 */
export function dueTime(
  accepted: AcceptedJob,
  queue: { stretch: number; targetLatencyMs: number } | undefined,
): number {
  const pathMs = criticalPathMs(accepted.submission.steps);
  const stretch = queue?.stretch ?? 1;
  const latencyMs = queue?.targetLatencyMs ?? 0;
  const startMs = accepted.submission.occurrences > 0
    ? accepted.submission.firstRunMs
    : accepted.acceptedAtMs;
  return startMs + stretch * pathMs + latencyMs;
}
