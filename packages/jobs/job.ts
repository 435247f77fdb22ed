/**
 * Functions on jobs, their occurrences and the names of their tasks.
 *
 * @module
 */

import type { Job, JobsById, Task, TaskGroup } from "./model.ts";
import type { AcceptedJob, JobState } from "./submission.ts";

export type { Job, JobsById, Run, Task, TaskGroup } from "./model.ts";

/** Options of {@linkcode createJob}. */
export type CreateJobOptions = {
  accepted: AcceptedJob;
  offset: number;
  objectiveMs: number;
  isInherited: boolean;
};

/**
 * Creates a job without tasks. {@linkcode createDueOccurrences} adds the tasks
 * of each occurrence once it is due.
 *
 * @example
 * ```ts
 * const job = createJob("5c0e7a21d94b36f8", options);
 * ```
 */
export function createJob(id: string, options: CreateJobOptions): Job {
  return {
    id,
    ...options,
    hasStoredProgress: options.isInherited,
    preparedAtMs: options.isInherited ? 0 : undefined,
    isPlaced: false,
    isCancelled: false,
    hasFailed: false,
    hasStarted: false,
    endedAtMs: undefined,
    isOutcomeStored: false,
    groups: [],
    createdOccurrences: 0,
  };
}

/** Returns how often a job runs; a job without a schedule runs once. */
export function totalOccurrences(job: Job): number {
  return Math.max(1, job.accepted.submission.occurrences);
}

/** Returns the Unix time in milliseconds from which an occurrence may run. */
export function scheduledTimeOf(job: Job, occurrence: number): number {
  const { occurrences, firstRunMs, intervalMs } = job.accepted.submission;
  if (occurrences === 0) return job.accepted.acceptedAtMs;
  return firstRunMs + occurrence * intervalMs;
}

/** Returns the Unix time by which an occurrence should have completed. */
export function dueTimeOf(job: Job, occurrence: number): number {
  return scheduledTimeOf(job, occurrence) + job.objectiveMs;
}

/** Returns the groups of each occurrence that has tasks. */
export function occurrencesOf(job: Job): TaskGroup[][] {
  if (job.createdOccurrences === 1) return [job.groups];
  const stepCount = job.accepted.submission.steps.length;
  return Array.from(
    { length: job.createdOccurrences },
    (_, occurrence) =>
      job.groups.slice(occurrence * stepCount, (occurrence + 1) * stepCount),
  );
}

/**
 * Creates the tasks of all occurrences whose scheduled time has come.
 *
 * @returns whether tasks were created
 */
export function createDueOccurrences(
  job: Job,
  times: { unixMs: number; monotonicMs: number; blockedUntilMs: number },
): boolean {
  const previousCount = job.createdOccurrences;
  const total = totalOccurrences(job);
  const isScheduled = job.accepted.submission.occurrences > 0;
  while (job.createdOccurrences < total) {
    const scheduledMs = scheduledTimeOf(job, job.createdOccurrences);
    if (isScheduled && scheduledMs > times.unixMs) break;
    createOccurrence(job, times);
  }
  return job.createdOccurrences > previousCount;
}

function createOccurrence(
  job: Job,
  times: { monotonicMs: number; blockedUntilMs: number },
): void {
  const occurrence = job.createdOccurrences++;
  job.accepted.submission.steps.forEach((step, stepIndex) => {
    const group: TaskGroup = {
      job,
      occurrence,
      stepIndex,
      step,
      tasks: [],
      doneCount: 0,
    };
    for (let index = 0; index < step.count; index++) {
      group.tasks.push({
        name: `${job.id}.${occurrence}.${stepIndex}.${index}`,
        group,
        index,
        isDone: false,
        runs: [],
        lastRunNumber: 0,
        lastEndedRunNumber: 0,
        failureCount: 0,
        crashes: [],
        openStarts: [],
        heldUntilMs: 0,
        checkpoint: "",
        blockedUntilMs: times.blockedUntilMs,
        durationMs: undefined,
        moveCount: 0,
        avoidedExecutors: new Set(),
        waitingSinceMs: times.monotonicMs,
      });
    }
    job.groups.push(group);
  });
}

/** Notes that it is known what became of the start of a run. */
export function closeStart(task: Task, run: number): void {
  task.openStarts = task.openStarts.filter((start) => start.run !== run);
}

/** Returns whether a job has completed, failed or been cancelled. */
export function hasEnded(job: Job): boolean {
  return job.endedAtMs !== undefined;
}

/** Returns whether a task needs a run and is neither blocked nor held. */
export function isPlaceable(task: Task, monotonicMs: number): boolean {
  return !task.isDone && task.runs.length === 0 &&
    task.blockedUntilMs <= monotonicMs && task.heldUntilMs <= monotonicMs;
}

/** Returns whether the runs of a task are all being stopped. */
export function isBeingStopped({ runs }: Task): boolean {
  return runs.length > 0 && runs.every(({ stopReason }) => stopReason !== "");
}

/** Returns whether all steps that a group depends on are done. */
export function isGroupReady(group: TaskGroup): boolean {
  const firstIndex = group.job.groups.length === 0
    ? 0
    : group.occurrence * group.job.accepted.submission.steps.length;
  return group.step.dependsOn.every((stepIndex) => {
    const dependency = group.job.groups[firstIndex + stepIndex];
    return dependency !== undefined && isGroupDone(dependency);
  });
}

/** Returns whether all tasks of a group are done. */
export function isGroupDone(group: TaskGroup): boolean {
  return group.doneCount >= group.tasks.length;
}

/** Returns whether all tasks of all occurrences are done. */
export function isComplete(job: Job): boolean {
  return job.createdOccurrences >= totalOccurrences(job) &&
    job.groups.every(isGroupDone);
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
  const stepCount = job.accepted.submission.steps.length;
  if (parts!.stepIndex >= stepCount) return undefined;
  const group = job.groups[parts!.occurrence * stepCount + parts!.stepIndex];
  return group?.tasks[parts!.taskIndex];
}
