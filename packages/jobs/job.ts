import type { Job, JobsById, Task, TaskGroup } from "./model.ts";
import type { AcceptedJob, JobState } from "./submission.ts";

export type { Job, JobsById, Run, Task, TaskGroup } from "./model.ts";

/** Options of {@linkcode createJob}. */
export type CreateJobOptions = {
  accepted: AcceptedJob;
  offset: number;
  dueAtMs: number;
  isInherited: boolean;
};

/**
 * Creates a job without occurrences; {@linkcode createDueOccurrences} adds them
 * when they are due.
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
    isCancelled: false,
    hasFailed: false,
    hasStarted: false,
    endedAtMs: undefined,
    isOutcomeStored: false,
    groups: [],
    createdOccurrences: 0,
  };
}

/** Number of times that a job runs in all. */
export function totalOccurrences(job: Job): number {
  return Math.max(1, job.accepted.submission.occurrences);
}

/** Returns the Unix time at which an occurrence is due. */
export function scheduledTimeOf(job: Job, occurrence: number): number {
  const { occurrences, firstRunMs, intervalMs } = job.accepted.submission;
  if (occurrences === 0) return job.accepted.acceptedAtMs;
  return firstRunMs + occurrence * intervalMs;
}

/**
 * Creates the tasks of all occurrences that are due.
 *
 * @returns whether there are new tasks
 */
export function createDueOccurrences(
  job: Job,
  times: { unixMs: number; monotonicMs: number; blockedUntilMs: number },
): boolean {
  const before = job.createdOccurrences;
  const total = totalOccurrences(job);
  const isTimed = job.accepted.submission.occurrences > 0;
  while (job.createdOccurrences < total) {
    if (
      isTimed && scheduledTimeOf(job, job.createdOccurrences) > times.unixMs
    ) break;
    createOccurrence(job, times);
  }
  return job.createdOccurrences > before;
}

function createOccurrence(
  job: Job,
  times: { monotonicMs: number; blockedUntilMs: number },
): void {
  const occurrence = job.createdOccurrences++;
  job.accepted.submission.steps.forEach((step, number) => {
    const group: TaskGroup = {
      job,
      occurrence,
      stepIndex: number,
      step,
      tasks: [],
      doneCount: 0,
    };
    for (let index = 0; index < step.count; index++) {
      group.tasks.push({
        name: `${job.id}.${occurrence}.${number}.${index}`,
        group,
        index,
        isDone: false,
        runs: [],
        lastRunNumber: 0,
        lastEndedRunNumber: 0,
        failureCount: 0,
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

/** Returns whether a job needs nothing more. */
export function hasEnded(job: Job): boolean {
  return job.endedAtMs !== undefined;
}

/** Returns whether all steps that a group waits for have ended. */
export function isGroupReady(group: TaskGroup): boolean {
  const first = group.job.groups.length === 0
    ? 0
    : group.occurrence * group.job.accepted.submission.steps.length;
  return group.step.dependsOn.every((number) => {
    const needed = group.job.groups[first + number];
    return needed !== undefined && isGroupDone(needed);
  });
}

/** Returns whether all tasks of a group have ended well. */
export function isGroupDone(group: TaskGroup): boolean {
  return group.doneCount >= group.tasks.length;
}

/** Returns whether every task of every occurrence has ended well. */
export function isComplete(job: Job): boolean {
  return job.createdOccurrences >= totalOccurrences(job) &&
    job.groups.every(isGroupDone);
}

/** Returns the state of a job for its caller. */
export function stateOf(job: Job): JobState {
  if (job.isCancelled) return "cancelled";
  // A later owner may not know of an outcome that is not stored yet.
  if (job.endedAtMs !== undefined && job.isOutcomeStored) {
    return job.hasFailed ? "failed" : "completed";
  }
  return job.hasStarted ? "running" : "queued";
}

/** Name of a task in its parts. */
export type TaskName = {
  id: string;
  occurrence: number;
  step: number;
  index: number;
};

/** Splits the name of a task, or returns undefined if it is not one. */
export function parseTaskName(name: string): TaskName | undefined {
  const match = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/.exec(name);
  if (match === null) return undefined;
  const [, id, occurrence, step, index] = match;
  return {
    id: id!,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}

/** Finds a task by its name. */
export function findTask(book: JobsById, name: string): Task | undefined {
  const parts = parseTaskName(name);
  const job = parts && book.get(parts.id);
  if (job === undefined) return undefined;
  const steps = job.accepted.submission.steps.length;
  if (parts!.step >= steps) return undefined;
  const group = job.groups[parts!.occurrence * steps + parts!.step];
  return group?.tasks[parts!.index];
}
