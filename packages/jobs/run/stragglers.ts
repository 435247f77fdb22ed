/**
 * Detection of stragglers: runs that make no progress or are far slower than
 * the other runs of their step.
 *
 * @module
 */

import { avoidExecutor } from "../avoid_executor.ts";
import type { Run, TaskGroup } from "../job.ts";
import { maySuspend } from "../ended/record_run_end.ts";
import { type OwnerState, stopRun } from "../owned/owner_state.ts";
import { findFreePlaces, type FreePlaces } from "../placed/free_places.ts";
import type { ExecutorState } from "../executor_state.ts";

/** Time without progress after which a run counts as stalled. */
const STALL_MS = 1_200;

/** The same for a lasting task, which reports progress until it is ready. */
const LASTING_STALL_MS = 3_000;

/** Multiple of the step's median duration from which a run counts as slow. */
const SLOW_DURATION_FACTOR = 3;

/** Least progress from which the duration of a run is projected. */
const MIN_PROGRESS_PERCENT = 3;

/** Shortest time for which a run is observed before it can count as slow. */
const MIN_OBSERVED_MS = 400;

/** Least number of durations for a median of a step. */
const MIN_SAMPLES = 3;

/** Largest number of times that a task is moved because it is slow. */
const MAX_MOVES = 2;

/** Slow runs on an executor after which it is suspended. */
const SUSPEND_AFTER_RUNS = 2;

/** Time for which a suspended executor gets no new tasks. */
const SUSPENSION_MS = 3_000;

/**
 * Stops runs that are stalled or far slower than the others of their step, if
 * another executor has capacity for them. This judges by the progress of runs,
 * not by the health that an executor reports.
 */
export function moveStragglers(owner: OwnerState): void {
  let places: FreePlaces | undefined;
  for (const executor of owner.executors.values()) {
    if (executor.isRemoved || executor.failedCalls > 0) continue;
    let slowCount = 0;
    for (const run of executor.runs) {
      const reason = findSlowness(run);
      if (reason === undefined) continue;
      if (isSinceSuspension(run)) slowCount++;
      if (!mayMove(run)) continue;
      places ??= findFreePlaces(owner);
      if (places.take(run)) moveRun(owner, run, reason);
    }
    if (slowCount >= SUSPEND_AFTER_RUNS) suspendExecutor(owner, executor);
  }
}

/**
 * Returns whether a run started since its executor was last suspended, which
 * would otherwise be suspended for as long as its runs can't be moved.
 */
function isSinceSuspension({ executor, startedAtMs }: Run): boolean {
  return startedAtMs > executor.suspendedUntilMs - SUSPENSION_MS;
}

function mayMove({ stopReason, task }: Run): boolean {
  return stopReason === "" && task.moveCount < MAX_MOVES;
}

function moveRun(owner: OwnerState, run: Run, reason: string): void {
  const { task } = run;
  task.moveCount++;
  avoidExecutor(task, run.executor.id);
  stopRun(owner, run, reason);
}

/** Returns the reason why a run counts as slow; undefined if it does not. */
function findSlowness(run: Run): string | undefined {
  if (run.state !== "running" || run.progressPercent >= 100) return undefined;
  const { step } = run.task.group;
  if (step.isGang || step.isFilling) return undefined;
  const stalledMs = run.reportedAtMs - run.progressedAtMs;
  const maxStallMs = step.isLasting ? LASTING_STALL_MS : STALL_MS;
  if (stalledMs >= maxStallMs) {
    return `no progress for ${Math.round(stalledMs)} ms`;
  }
  if (step.isLasting) return undefined;
  if (run.reportedAtMs - run.startedAtMs < MIN_OBSERVED_MS) return undefined;
  const projectedMs = projectDurationMs(run);
  const medianMs = medianDurationMs(run.task.group);
  if (projectedMs === undefined || medianMs === undefined) return undefined;
  if (projectedMs < SLOW_DURATION_FACTOR * medianMs) return undefined;
  const remainingMs = projectedMs * (100 - run.progressPercent) / 100;
  // A new run would take at least as long as the rest of this one.
  if (remainingMs < SLOW_DURATION_FACTOR / 2 * medianMs) return undefined;
  return `projected duration of ${Math.round(projectedMs)} ms, median of ` +
    `${Math.round(medianMs)} ms`;
}

/** Returns the median duration of ended runs and projected running ones. */
function medianDurationMs(group: TaskGroup): number | undefined {
  const durations: number[] = [];
  for (const { durationMs, runs } of group.tasks) {
    if (durationMs !== undefined) durations.push(durationMs);
    for (const run of runs) {
      const projectedMs = projectDurationMs(run);
      if (projectedMs !== undefined) durations.push(projectedMs);
    }
  }
  if (durations.length < MIN_SAMPLES) return undefined;
  durations.sort((a, b) => a - b);
  return durations[(durations.length - 1) >> 1];
}

/** Returns the duration of a run at its rate so far, once that is known. */
function projectDurationMs(run: Run): number | undefined {
  const progress = run.progressPercent - run.initialProgressPercent;
  if (progress < MIN_PROGRESS_PERCENT) return undefined;
  return 100 * (run.reportedAtMs - run.startedAtMs) / progress;
}

function suspendExecutor(owner: OwnerState, executor: ExecutorState): void {
  const nowMs = performance.now();
  if (executor.suspendedUntilMs > nowMs || !maySuspend(owner, executor)) return;
  executor.suspendedUntilMs = nowMs + SUSPENSION_MS;
  owner.options.events.log("executorSlow", {
    executor: executor.id,
    forMs: SUSPENSION_MS,
  });
}
