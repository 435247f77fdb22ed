/**
 * Functions on jobs and the names of their tasks.
 *
 * @module
 */

import type { Job, JobsById, Task } from "./model.ts";
import { findGroup, scheduledTimeOf } from "./occurrences.ts";
import type { AcceptedJob, JobState } from "./submission.ts";

export type { Job, JobsById, Run, Task, TaskGroup } from "./model.ts";

/** Options of {@linkcode createJob}. */
export type CreateJobOptions = {
  accepted: AcceptedJob;
  offset: number;
  objectiveMs: number;
  isInherited: boolean;
  /** Whether it is beyond the weight of its organisation; by default not. */
  isBeyondWeight?: boolean;
};

/**
 * Creates a job without tasks, which are added once their occurrence is due.
 *
 * @example
 * ```ts
 * const job = createJob("5c0e7a21d94b36f8", options);
 * ```
 */
export function createJob(id: string, options: CreateJobOptions): Job {
  return {
    id,
    isBeyondWeight: false,
    ...options,
    hasStoredProgress: options.isInherited,
    preparedAtMs: options.isInherited ? 0 : undefined,
    isPlaced: false,
    isCancelled: false,
    hasFailed: false,
    hasStarted: false,
    startSeenAtMs: undefined,
    isStartStored: false,
    endedAtMs: undefined,
    isOutcomeStored: false,
    groups: [],
    groupsByKey: new Map(),
    nextOccurrences: options.accepted.submission.steps.map(() => 0),
  };
}

/** Returns the Unix time by which an occurrence should have completed. */
export function dueTimeOf(job: Job, occurrence: number): number {
  return scheduledTimeOf(job, occurrence) + job.objectiveMs;
}

/** Notes that it is known what became of the start of a run. */
export function closeStart(task: Task, run: number): void {
  task.openStarts = task.openStarts.filter((start) => start.run !== run);
}

/** Returns whether a job has completed, failed or been cancelled. */
export function hasEnded(job: Job): boolean {
  return job.endedAtMs !== undefined;
}

/** Times at which it is decided whether a task may start. */
export type PlacementTimes = {
  /** Current monotonic time in milliseconds. */
  monotonicMs: number;
  /**
   * Monotonic time up to which no other owner can have acted; the current one
   * if undefined.
   */
  undisputedMs?: number | undefined;
};

/**
 * Returns whether a task needs a run and does not have to wait. The lease of an
 * earlier run counts only as far as no other owner may have renewed it.
 */
export function isPlaceable(
  task: Task,
  { monotonicMs, undisputedMs = monotonicMs }: PlacementTimes,
): boolean {
  const { blockedUntilMs, heldUntilMs, backoffUntilMs } = task;
  return !task.isDone && task.runs.length === 0 &&
    (blockedUntilMs === 0 || blockedUntilMs <= undisputedMs) &&
    Math.max(heldUntilMs, backoffUntilMs) <= monotonicMs;
}

/** Returns whether the runs of a task are all being stopped. */
export function isBeingStopped({ runs }: Task): boolean {
  return runs.length > 0 && runs.every(({ stopReason }) => stopReason !== "");
}

/** Returns the state of a job that callers see. */
export function stateOf(job: Job): JobState {
  if (job.isCancelled) return "cancelled";
  // An outcome that is not stored yet would be lost with this owner, and the
  // next owner would run the job again.
  if (job.endedAtMs !== undefined && job.isOutcomeStored) {
    return job.hasFailed ? "failed" : "completed";
  }
  return job.hasStarted ? "running" : "queued";
}

/** Parts of the name of a task. */
export type TaskName = {
  id: string;
  occurrence: number;
  stepIndex: number;
  taskIndex: number;
};

/** Parses the name of a task; returns undefined if it is not one. */
export function parseTaskName(name: string): TaskName | undefined {
  const match = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/.exec(name);
  if (match === null) return undefined;
  const [, id, occurrence, stepIndex, taskIndex] = match;
  return {
    id: id!,
    occurrence: Number(occurrence),
    stepIndex: Number(stepIndex),
    taskIndex: Number(taskIndex),
  };
}

/** Finds a task by its name; returns undefined if it is not known. */
export function findTask(jobs: JobsById, name: string): Task | undefined {
  const parts = parseTaskName(name);
  const job = parts && jobs.get(parts.id);
  if (job === undefined) return undefined;
  if (parts!.stepIndex >= job.nextOccurrences.length) return undefined;
  return findGroup(job, parts!)?.tasks[parts!.taskIndex];
}
