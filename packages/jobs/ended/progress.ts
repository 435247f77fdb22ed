/**
 * Encodes and restores the stored progress of jobs.
 *
 * @module
 */

import { z } from "zod";
import { type Job, parseTaskName, type TaskGroup } from "../job.ts";
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
  /** Numbers of the failed runs, by task name. */
  failed: z.record(z.string(), z.array(z.number())),
  /** Tasks under which executors have crashed, by task name. */
  suspicions: z.record(z.string(), Suspicion).optional(),
  outcome: z.enum(["completed", "failed", "cancelled"]).optional(),
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

/** Encodes the progress of a job as JSON for the store. */
export function encodeProgress(job: Job, failed: FailedRuns): string {
  const progress: Progress = { done: {}, failed: {} };
  for (const group of job.groups) {
    if (group.doneCount > 0) {
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
  if (job.endedAtMs !== undefined) {
    progress.endedAtMs = job.endedAtMs;
    progress.outcome = outcomeOf(job);
  }
  return JSON.stringify(progress);
}

/** Returns the last occurrence of which something is stored, at least 0. */
export function lastOccurrenceOf(
  { done, failed, suspicions = {} }: Progress,
): number {
  const occurrences = [
    ...Object.keys(done).map((key) => Number.parseInt(key, 10)),
    ...[...Object.keys(failed), ...Object.keys(suspicions)]
      .map((name) => parseTaskName(name)?.occurrence ?? 0),
  ];
  return Math.max(0, ...occurrences);
}

/**
 * Restores stored progress into a job whose occurrences have been created,
 * and the numbers of its failed runs into `failed`.
 */
export function applyProgress(
  job: Job,
  { progress, failed }: { progress: Progress; failed: FailedRuns },
): void {
  for (const group of job.groups) {
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
      const runs = progress.failed[task.name];
      if (runs === undefined) continue;
      failed.set(task.name, new Set(runs));
      task.failureCount = runs.length;
      job.hasStarted = true;
    }
  }
  job.endedAtMs = progress.endedAtMs;
  job.isOutcomeStored = progress.outcome !== undefined;
  job.hasFailed = progress.outcome === "failed";
  job.isCancelled ||= progress.outcome === "cancelled";
}

function groupKey(group: TaskGroup): string {
  return `${group.occurrence}.${group.stepIndex}`;
}

function encodeDoneBits(group: TaskGroup): string {
  const digits = new Array<number>(Math.ceil(group.tasks.length / 4)).fill(0);
  for (const task of group.tasks) {
    if (task.isDone) digits[task.index >> 2]! |= 1 << (task.index & 3);
  }
  return digits.map((digit) => digit.toString(16)).join("");
}

function isBitSet(bits: string, index: number): boolean {
  const digit = Number.parseInt(bits[index >> 2] ?? "0", 16);
  return (digit >> (index & 3) & 1) === 1;
}
