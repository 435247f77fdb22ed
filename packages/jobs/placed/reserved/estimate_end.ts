/**
 * Estimates of when runs end. Declared durations may be far off, so an estimate
 * has a spread, and one that the run has outlasted is given up.
 *
 * @module
 */

import { dueTimeOf, type Run, type TaskGroup } from "../../job.ts";
import { remainingCriticalPathMs, remainingStepsOf } from "../due_time.ts";
import { DEFAULT_RATIO, type DurationRatio } from "./duration_ratios.ts";

/** Least progress from which the end of a run is projected, in percent. */
const MIN_PROGRESS_PERCENT = 10;

/** Ratio of the longest to the expected duration, by what it is known from. */
const SPREAD = { progress: 1.25, siblings: 1.5 };

/** Longest time in milliseconds until a run that is being stopped has ended. */
const STOP_MS = 500;

/** Durations in milliseconds. */
export type DurationEstimate = { expectedMs: number; longestMs: number };

/** Estimates of one round of placement, which computes each only once. */
export type Estimates = {
  /** Returns how long a task of a group runs; undefined if not known. */
  durationOf(group: TaskGroup): DurationEstimate | undefined;
  /**
   * Returns the time until a run ends; undefined if nothing is known, or if the
   * run has already taken longer than its longest duration.
   */
  remainingOf(run: Run): DurationEstimate | undefined;
  /**
   * Returns the monotonic time at which a group has to start so that its
   * occurrence is in time.
   */
  latestStartOf(group: TaskGroup): number;
};

/**
 * Creates the estimates of a round of placement, by both clocks.
 *
 * @example
 * ```ts
 * const times = { nowMs: performance.now(), unixMs: Date.now() };
 * const estimates = createEstimates(times);
 * const leftMs = estimates.remainingOf(run)?.expectedMs;
 * ```
 */
export function createEstimates(
  { nowMs, unixMs, ratio = DEFAULT_RATIO }: {
    nowMs: number;
    unixMs: number;
    /** Ratio of the durations of the service to declared ones. */
    ratio?: DurationRatio;
  },
): Estimates {
  const durationOf = memoize((group) => estimateDuration(group, ratio));
  const latestStartOf = memoize((group) => {
    const { job, occurrence } = group;
    const steps = remainingStepsOf(job, occurrence);
    const dueInMs = dueTimeOf(job, occurrence) - unixMs;
    return nowMs + dueInMs - remainingCriticalPathMs(steps);
  });
  return {
    durationOf,
    remainingOf(run) {
      if (run.stopReason !== "") return { expectedMs: 0, longestMs: STOP_MS };
      if (run.task.group.step.isLasting) return undefined;
      const projected = projectRemaining(run, nowMs);
      if (projected !== undefined) return projected;
      const duration = durationOf(run.task.group);
      return duration && shorten(duration, nowMs - run.startedAtMs);
    },
    latestStartOf,
  };
}

/**
 * Returns a function that computes a value for each group once. It is mostly
 * asked for the same group again, on one executor after the other.
 */
function memoize<Value>(
  compute: (group: TaskGroup) => Value,
): (group: TaskGroup) => Value {
  const values = new Map<TaskGroup, { value: Value }>();
  let last: { group: TaskGroup; value: Value } | undefined;
  return (group) => {
    if (last?.group === group) return last.value;
    let entry = values.get(group);
    if (entry === undefined) {
      entry = { value: compute(group) };
      values.set(group, entry);
    }
    last = { group, value: entry.value };
    return entry.value;
  };
}

/**
 * Estimates how long a task of a group runs: by those of the group that are
 * done, else as declared, corrected by what other runs took.
 */
function estimateDuration(
  { step, tasks }: TaskGroup,
  ratio: DurationRatio,
): DurationEstimate | undefined {
  if (step.isLasting) return undefined;
  const durations = tasks
    .map(({ durationMs }) => durationMs)
    .filter((durationMs) => durationMs !== undefined)
    .sort((left, right) => left - right);
  const medianMs = durations[durations.length >> 1];
  if (medianMs !== undefined) return withSpread(medianMs, SPREAD.siblings);
  if (step.estimateMs === 0) return undefined;
  return {
    expectedMs: ratio.expected * step.estimateMs,
    longestMs: ratio.longest * step.estimateMs,
  };
}

/** Projects the end of a run from its progress under this owner. */
function projectRemaining(
  run: Run,
  nowMs: number,
): DurationEstimate | undefined {
  const gained = run.progressPercent - run.initialProgressPercent;
  if (gained < MIN_PROGRESS_PERCENT) return undefined;
  const percentMs = (run.progressedAtMs - run.startedAtMs) / gained;
  const leftMs = percentMs * (100 - run.progressPercent);
  const sinceMs = nowMs - run.progressedAtMs;
  return shorten(withSpread(leftMs, SPREAD.progress), sinceMs);
}

function withSpread(expectedMs: number, spread: number): DurationEstimate {
  return { expectedMs, longestMs: spread * expectedMs };
}

function shorten(
  { expectedMs, longestMs }: DurationEstimate,
  passedMs: number,
): DurationEstimate | undefined {
  if (passedMs > longestMs) return undefined;
  return {
    expectedMs: Math.max(0, expectedMs - passedMs),
    longestMs: longestMs - passedMs,
  };
}
