import type { Run, TaskGroup } from "../job.ts";
import { maySuspendAnother } from "../ended/record_run_end.ts";
import { type OwnerState, stopRun } from "../owned/owner_state.ts";
import type { Worker } from "../worker.ts";
import { hasCapacityElsewhere } from "./drain_workers.ts";

/** Time without progress after which a task stands still. */
const STILL_MS = 1_200;

/** Time without progress before a lasting task is at work, as above. */
const LASTING_STILL_MS = 3_000;

/** Multiple of the usual duration from which a run counts as slow. */
const SLOW_FACTOR = 3;

/** Progress in percent from which the rate of a run is known. */
const MIN_PROGRESS = 3;

/** Time for which a run is watched before its rate is known. */
const MIN_WATCHED_MS = 400;

/** Runs of a step whose durations say what is usual. */
const MIN_SAMPLES = 3;

/** Times that a task is moved for being slow. */
const MAX_MOVES = 2;

/** Runs that are slow on an executor before it gets no more work. */
const SUSPEND_AFTER_RUNS = 2;

/** Time for which a slow executor gets no work. */
const SUSPENSION_MS = 3_000;

/**
 * Stops runs that stand still, or take far longer than the others of their
 * step, if there is room for them elsewhere. Progress goes before what an
 * executor says of itself.
 */
export function moveStragglers(owner: OwnerState): void {
  for (const worker of owner.workers.values()) {
    if (worker.isRemoved || worker.failedCalls > 0) continue;
    let slow = 0;
    for (const run of worker.runs) {
      const reason = slownessOf(run);
      if (reason === undefined) continue;
      slow++;
      moveRun(owner, run, reason);
    }
    if (slow >= SUSPEND_AFTER_RUNS) suspend(owner, worker);
  }
}

function moveRun(owner: OwnerState, run: Run, reason: string): void {
  const { task } = run;
  if (run.stopReason !== "" || task.moveCount >= MAX_MOVES) return;
  if (!hasCapacityElsewhere(owner, run)) return;
  task.moveCount++;
  task.avoidedExecutors.add(run.worker.id);
  stopRun(owner, run, reason);
}

/** Returns why a run counts as slow; undefined if it does not. */
function slownessOf(run: Run): string | undefined {
  if (run.state !== "running" || run.progressPercent >= 100) return undefined;
  const { step } = run.task.group;
  if (step.isGang || step.isFilling) return undefined;
  const stillMs = run.reportedAtMs - run.progressedAtMs;
  const longestMs = step.isLasting ? LASTING_STILL_MS : STILL_MS;
  if (stillMs >= longestMs) {
    return `it stands still for ${Math.round(stillMs)} ms`;
  }
  if (step.isLasting) return undefined;
  if (run.reportedAtMs - run.startedAtMs < MIN_WATCHED_MS) return undefined;
  const wholeMs = wholeDurationMs(run);
  const usualMs = usualDurationMs(run.task.group);
  if (wholeMs === undefined || usualMs === undefined) return undefined;
  if (wholeMs < SLOW_FACTOR * usualMs) return undefined;
  const leftMs = wholeMs * (100 - run.progressPercent) / 100;
  // A run that starts anew would not end any sooner.
  if (leftMs < SLOW_FACTOR / 2 * usualMs) return undefined;
  return `it takes ${Math.round(wholeMs)} ms instead of ` +
    `${Math.round(usualMs)} ms`;
}

/** Returns the median of what the tasks of a step take, as far as known. */
function usualDurationMs(group: TaskGroup): number | undefined {
  const durations: number[] = [];
  for (const { durationMs, runs } of group.tasks) {
    if (durationMs !== undefined) durations.push(durationMs);
    for (const run of runs) {
      const wholeMs = wholeDurationMs(run);
      if (wholeMs !== undefined) durations.push(wholeMs);
    }
  }
  if (durations.length < MIN_SAMPLES) return undefined;
  durations.sort((a, b) => a - b);
  return durations[(durations.length - 1) >> 1];
}

/** Returns how long a run takes at its present rate, if that is known. */
function wholeDurationMs(run: Run): number | undefined {
  const progress = run.progressPercent - run.initialProgressPercent;
  if (progress < MIN_PROGRESS) return undefined;
  return 100 * (run.reportedAtMs - run.startedAtMs) / progress;
}

function suspend(owner: OwnerState, worker: Worker): void {
  const nowMs = performance.now();
  if (worker.suspendedUntilMs > nowMs || !maySuspendAnother(owner)) return;
  worker.suspendedUntilMs = nowMs + SUSPENSION_MS;
  owner.options.events.log("executorSlow", {
    executor: worker.id,
    forMs: SUSPENSION_MS,
  });
}
