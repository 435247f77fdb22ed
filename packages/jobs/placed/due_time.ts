import type { TaskGroup } from "../job.ts";
import type { AcceptedJob, Step } from "../submission.ts";

/**
 * Returns the longest chain of work of a submission in milliseconds, by the
 * estimates of its steps.
 */
export function criticalPathMs(steps: readonly Step[]): number {
  const ends: number[] = [];
  steps.forEach((step) => {
    const before = Math.max(0, ...step.dependsOn.map((at) => ends[at] ?? 0));
    ends.push(before + (step.isLasting ? 0 : step.estimateMs));
  });
  return Math.max(0, ...ends);
}

/**
 * Returns the longest chain of work of an occurrence that is left, in
 * milliseconds, by the estimates of its steps.
 */
export function remainingCriticalPathMs(groups: readonly TaskGroup[]): number {
  const ends: number[] = [];
  for (const { step, doneCount, tasks } of groups) {
    const before = Math.max(0, ...step.dependsOn.map((at) => ends[at] ?? 0));
    const isLeft = !step.isLasting && doneCount < tasks.length;
    ends.push(before + (isLeft ? step.estimateMs : 0));
  }
  return Math.max(0, ...ends);
}

/**
 * Returns the Unix time until which a job is on time: its longest chain of
 * work, stretched as its queue allows, and the latency that the queue aims at.
 */
export function dueTime(
  accepted: AcceptedJob,
  queue: { stretch: number; targetLatencyMs: number } | undefined,
): number {
  const chainMs = criticalPathMs(accepted.submission.steps);
  const stretch = queue?.stretch ?? 1;
  const latencyMs = queue?.targetLatencyMs ?? 0;
  const startMs = accepted.submission.occurrences > 0
    ? accepted.submission.firstRunMs
    : accepted.acceptedAtMs;
  return startMs + stretch * chainMs + latencyMs;
}
