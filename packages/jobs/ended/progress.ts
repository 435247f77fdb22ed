/**
 * Encodes and restores the stored progress of jobs.
 *
 * @module
 */

import { z } from "zod";
import { type Job, parseTaskName, type TaskGroup } from "../job.ts";
import {
  findGroup,
  isScheduled,
  type OccurrenceStep,
  openDueGroups,
  openGroup,
  type OpeningTimes,
  totalOccurrences,
} from "../occurrences.ts";
import { Suspicion } from "./suspicion.ts";

/**
 * Schema of the stored progress of a job. Failed runs are stored by run number,
 * so that a failure that two owners read counts once.
 */
export const Progress = z.object({
  /**
   * Bit sets of the done tasks, by `OCCURRENCE.STEP`. Each hexadecimal digit
   * stands for four tasks, lowest bit first.
   */
  done: z.record(z.string(), z.string()),
  /**
   * First occurrence without a start, by step, for a job that runs at set
   * times. The tasks of earlier ones that `done` doesn't name are done.
   */
  opened: z.array(z.number()).optional(),
  /** Numbers of the failed runs, by task name. */
  failed: z.record(z.string(), z.array(z.number())),
  /** Tasks under which executors have crashed, by task name. */
  suspicions: z.record(z.string(), Suspicion).optional(),
  /** Whether a task has started. Earlier versions store only ends. */
  hasStarted: z.boolean().optional(),
  outcome: z.enum(["completed", "failed", "cancelled"]).optional(),
  /**
   * Service that runs the job. It holds against later records of the job that
   * name another one. Progress of earlier versions and of ended jobs has none.
   */
  service: z.string().optional(),
  /** Whether the partition of that service, another one, has the job. */
  isForwarded: z.boolean().optional(),
  /** Unix time at which the job ended, in milliseconds. */
  endedAtMs: z.number().optional(),
});

/** Stored progress of a job. */
export type Progress = z.infer<typeof Progress>;

/** Numbers of the failed runs, by task name. */
export type FailedRuns = Map<string, Set<number>>;

/** Returns the outcome of a job that has ended. */
export function outcomeOf(job: Job): "completed" | "failed" | "cancelled" {
  if (job.isCancelled) return "cancelled";
  return job.hasFailed ? "failed" : "completed";
}

/**
 * Encodes the progress of a job as JSON for the store. Its length depends on
 * the occurrences that are at work, but not on those that are over or wait.
 */
export function encodeProgress(job: Job, failed: FailedRuns): string {
  const progress: Progress = { done: {}, failed: {} };
  if (job.endedAtMs !== undefined) {
    progress.endedAtMs = job.endedAtMs;
    progress.outcome = outcomeOf(job);
    return JSON.stringify(progress);
  }
  progress.service = job.accepted.service;
  if (job.hasStarted) progress.hasStarted = true;
  if (isScheduled(job)) progress.opened = openedOccurrences(job);
  for (const group of job.groups) {
    const isOpened =
      group.occurrence < (progress.opened?.[group.stepIndex] ?? 0);
    if (group.doneCount > 0 || isOpened) {
      progress.done[groupKey(group)] = encodeDoneBits(group);
    }
    for (const task of group.tasks) {
      if (task.isDone) continue;
      const runs = failed.get(task.name);
      if (runs !== undefined) progress.failed[task.name] = [...runs];
      const { crashes, openStarts } = task;
      if (crashes.length === 0 && openStarts.length === 0) continue;
      progress.suspicions ??= {};
      progress.suspicions[task.name] = { crashes, openStarts };
    }
  }
  return JSON.stringify(progress);
}

/** Returns the first occurrence from which on nothing was started, by step. */
function openedOccurrences(job: Job): number[] {
  return job.nextOccurrences.map((next, stepIndex) => {
    while (next > 0) {
      const last = findGroup(job, { occurrence: next - 1, stepIndex });
      if (last === undefined || !isUntouched(last)) break;
      next--;
    }
    return next;
  });
}

function isUntouched({ tasks }: TaskGroup): boolean {
  return tasks.every(({ isDone, lastRunNumber }) =>
    !isDone && lastRunNumber === 0
  );
}

/**
 * Restores stored progress into a job without tasks, and the numbers of its
 * failed runs into `failed`. Groups that are over are not created.
 */
export function applyProgress(
  job: Job,
  { progress, failed, times }: {
    progress: Progress;
    failed: FailedRuns;
    times: OpeningTimes;
  },
): void {
  job.endedAtMs = progress.endedAtMs;
  job.isOutcomeStored = progress.outcome !== undefined;
  job.hasFailed = progress.outcome === "failed";
  job.isCancelled ||= progress.outcome === "cancelled";
  job.isStartStored = progress.hasStarted === true;
  job.hasStarted ||= job.isStartStored;
  if (job.endedAtMs !== undefined) return;
  if (!isScheduled(job)) openDueGroups(job, { ...times, unixMs: 0 });
  const total = totalOccurrences(job);
  progress.opened?.forEach((opened, stepIndex) => {
    if (stepIndex >= job.nextOccurrences.length) return;
    job.nextOccurrences[stepIndex] = Math.min(opened, total);
  });
  for (const step of namedSteps(progress)) {
    const isKnown = step.occurrence < total &&
      step.stepIndex < job.nextOccurrences.length;
    if (isKnown) openGroup(job, step, times);
  }
  for (const group of job.groups) restoreGroup(group, { progress, failed });
  const openedCount = job.nextOccurrences.reduce((sum, next) => sum + next, 0);
  const existing = job.groups.filter(({ occurrence, stepIndex }) =>
    occurrence < job.nextOccurrences[stepIndex]!
  );
  job.hasStarted ||= openedCount > existing.length;
}

/** Returns the groups of which something is stored. */
function namedSteps(
  { done, failed, suspicions = {} }: Progress,
): OccurrenceStep[] {
  const groups = Object.keys(done).map((key) => {
    const [occurrence, stepIndex] = key.split(".").map(Number);
    return { occurrence: occurrence!, stepIndex: stepIndex! };
  });
  const tasks = [...Object.keys(failed), ...Object.keys(suspicions)]
    .map(parseTaskName).filter((name) => name !== undefined);
  return [...groups, ...tasks];
}

function restoreGroup(
  group: TaskGroup,
  { progress, failed }: { progress: Progress; failed: FailedRuns },
): void {
  const { job } = group;
  const bits = progress.done[groupKey(group)] ?? "";
  for (const task of group.tasks) {
    if (!task.isDone && isBitSet(bits, task.index)) {
      task.isDone = true;
      group.doneCount++;
      job.hasStarted = true;
    }
    const suspicion = progress.suspicions?.[task.name];
    task.crashes = suspicion?.crashes ?? [];
    task.openStarts = suspicion?.openStarts ?? [];
    job.hasStarted ||= task.crashes.some(({ isConfirmed }) => isConfirmed);
    const runs = progress.failed[task.name];
    if (runs === undefined) continue;
    failed.set(task.name, new Set(runs));
    task.failureCount = runs.length;
    job.hasStarted = true;
  }
}

function groupKey(group: TaskGroup): string {
  return `${group.occurrence}.${group.stepIndex}`;
}

function encodeDoneBits(group: TaskGroup): string {
  const digits = new Array<number>(Math.ceil(group.tasks.length / 4)).fill(0);
  for (const task of group.tasks) {
    if (task.isDone) digits[task.index >> 2]! |= 1 << (task.index & 3);
  }
  const text = digits.map((digit) => digit.toString(16)).join("");
  return text.replace(/0+$/, "");
}

function isBitSet(bits: string, index: number): boolean {
  const digit = Number.parseInt(bits[index >> 2] ?? "0", 16);
  return (digit >> (index & 3) & 1) === 1;
}
