/**
 * Occurrences of a job. Only the task groups of occurrences that are at work or
 * come next exist; for all earlier ones, a number by step says that they are
 * done.
 *
 * @module
 */

import type { Job, Task, TaskGroup } from "./model.ts";

/**
 * Waiting tasks of a step from which on no further occurrence of it is opened.
 * A round of placement starts no more of them than this.
 */
export const MAX_WAITING_TASKS = 500;

/** Times that apply to the tasks of a group which is created. */
export type OpeningTimes = { monotonicMs: number; blockedUntilMs: number };

/** Step of an occurrence. */
export type OccurrenceStep = { occurrence: number; stepIndex: number };

/** Returns how often a job runs; a job without a schedule runs once. */
export function totalOccurrences(job: Job): number {
  return Math.max(1, job.accepted.submission.occurrences);
}

/** Returns whether a job runs at set times. */
export function isScheduled(job: Job): boolean {
  return job.accepted.submission.occurrences > 0;
}

/** Returns the Unix time in milliseconds from which an occurrence may run. */
export function scheduledTimeOf(job: Job, occurrence: number): number {
  const { occurrences, firstRunMs, intervalMs } = job.accepted.submission;
  if (occurrences === 0) return job.accepted.acceptedAtMs;
  return firstRunMs + occurrence * intervalMs;
}

/** Returns whether groups of a job may still have to be opened or dropped. */
export function hasMovingWindow(job: Job): boolean {
  return isScheduled(job) || job.nextOccurrences.includes(0);
}

/** Finds the group of a step, if it exists. */
export function findGroup(
  job: Job,
  step: OccurrenceStep,
): TaskGroup | undefined {
  return job.groupsByKey.get(keyOf(job, step));
}

/** Returns whether a group is over, so that it does not exist any more. */
export function isGroupOver(job: Job, step: OccurrenceStep): boolean {
  const next = job.nextOccurrences[step.stepIndex] ?? 0;
  return step.occurrence < next && findGroup(job, step) === undefined;
}

/** Returns how many tasks of a step are not done, whether created or not. */
export function countRemainingTasks(job: Job, step: OccurrenceStep): number {
  const group = findGroup(job, step);
  if (group !== undefined) return group.tasks.length - group.doneCount;
  if (isGroupOver(job, step)) return 0;
  return job.accepted.submission.steps[step.stepIndex]?.count ?? 0;
}

/** Returns whether all steps that a group depends on are done. */
export function isGroupReady({ job, occurrence, step }: TaskGroup): boolean {
  return step.dependsOn.every((stepIndex) =>
    countRemainingTasks(job, { occurrence, stepIndex }) === 0
  );
}

/** Returns whether all tasks of a group are done. */
export function isGroupDone(group: TaskGroup): boolean {
  return group.doneCount >= group.tasks.length;
}

/** Returns whether all tasks of all occurrences are done. */
export function isComplete(job: Job): boolean {
  const total = totalOccurrences(job);
  return job.nextOccurrences.every((next) => next >= total) &&
    job.groups.every(isGroupDone);
}

/** Returns the groups that exist, by occurrence. */
export function groupsByOccurrence(
  job: Job,
): Iterable<readonly [number, readonly TaskGroup[]]> {
  if (!isScheduled(job)) return [[0, job.groups]];
  const groups = new Map<number, TaskGroup[]>();
  for (const group of job.groups) {
    const others = groups.get(group.occurrence);
    if (others === undefined) groups.set(group.occurrence, [group]);
    else others.push(group);
  }
  return groups;
}

/**
 * Creates the groups of due occurrences, step by step. Those of a step follow
 * its own progress, so that a step which waits for executors holds back no
 * other one, and a group exists only once the groups that it depends on do.
 *
 * @returns whether further due occurrences have to wait for a later call
 */
export function openDueGroups(
  job: Job,
  times: OpeningTimes & { unixMs: number },
): boolean {
  let hasMore = false;
  job.nextOccurrences.forEach((_, stepIndex) => {
    if (!isNextDue(job, stepIndex, times.unixMs)) return;
    let waiting = countWaitingTasks(job, stepIndex);
    while (isNextDue(job, stepIndex, times.unixMs)) {
      const occurrence = job.nextOccurrences[stepIndex]!;
      const step = { occurrence, stepIndex };
      if (findGroup(job, step) === undefined) {
        if (waiting >= MAX_WAITING_TASKS) {
          hasMore = true;
          return;
        }
        const group = openGroup(job, step, times);
        if (isGroupReady(group)) waiting += group.tasks.length;
      }
      job.nextOccurrences[stepIndex] = occurrence + 1;
    }
  });
  return hasMore;
}

function isNextDue(job: Job, stepIndex: number, unixMs: number): boolean {
  const { nextOccurrences, accepted: { submission: { steps } } } = job;
  const occurrence = nextOccurrences[stepIndex]!;
  if (occurrence >= totalOccurrences(job)) return false;
  if (isScheduled(job) && scheduledTimeOf(job, occurrence) > unixMs) {
    return false;
  }
  return steps[stepIndex]!.dependsOn
    .every((dependency) => occurrence < (nextOccurrences[dependency] ?? 0));
}

function countWaitingTasks(job: Job, stepIndex: number): number {
  let count = 0;
  for (const group of job.groups) {
    if (group.stepIndex !== stepIndex || !isGroupReady(group)) continue;
    const hasRuns = group.tasks.some(({ runs }) => runs.length > 0);
    // Its other tasks may wait for executors that its own limit closes to them.
    if (group.step.maxPerExecutor > 0 && hasRuns) continue;
    for (const { isDone, runs } of group.tasks) {
      if (!isDone && runs.length === 0) count++;
    }
  }
  return count;
}

/**
 * Creates the group of a step, also before its turn: an earlier owner may have
 * run it. Returns the existing group if there is one.
 */
export function openGroup(
  job: Job,
  { occurrence, stepIndex }: OccurrenceStep,
  times: OpeningTimes,
): TaskGroup {
  const known = findGroup(job, { occurrence, stepIndex });
  if (known !== undefined) return known;
  const group: TaskGroup = {
    job,
    occurrence,
    stepIndex,
    step: job.accepted.submission.steps[stepIndex]!,
    tasks: [],
    doneCount: 0,
    spreadableSinceMs: undefined,
  };
  for (let index = 0; index < group.step.count; index++) {
    group.tasks.push(createTask(group, index, times));
  }
  job.groups.push(group);
  job.groupsByKey.set(keyOf(job, group), group);
  return group;
}

function createTask(
  group: TaskGroup,
  index: number,
  { monotonicMs, blockedUntilMs }: OpeningTimes,
): Task {
  return {
    name: `${group.job.id}.${group.occurrence}.${group.stepIndex}.${index}`,
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
    backoffUntilMs: 0,
    checkpoint: "",
    blockedUntilMs,
    durationMs: undefined,
    moveCount: 0,
    avoidedExecutors: new Set(),
    waitingSinceMs: monotonicMs,
  };
}

/**
 * Drops the groups of a scheduled job that are done and of which nothing runs.
 * A group that was created before its turn stays until then, as the number by
 * step does not cover it.
 *
 * @returns the dropped groups
 */
export function closeDoneGroups(job: Job): TaskGroup[] {
  if (!isScheduled(job)) return [];
  const closed = job.groups.filter((group) => isClosable(job, group));
  if (closed.length === 0) return [];
  for (const group of closed) job.groupsByKey.delete(keyOf(job, group));
  job.groups = job.groups.filter((group) => findGroup(job, group) === group);
  return closed;
}

function isClosable(job: Job, group: TaskGroup): boolean {
  return isGroupDone(group) &&
    group.occurrence < job.nextOccurrences[group.stepIndex]! &&
    group.tasks.every(({ runs }) => runs.length === 0);
}

function keyOf(job: Job, { occurrence, stepIndex }: OccurrenceStep): number {
  return occurrence * job.accepted.submission.steps.length + stepIndex;
}
