/**
 * Records the ends of runs: marks tasks as done, counts failures, ends jobs
 * and suspends executors on which many jobs fail.
 *
 * @module
 */

import { avoidExecutor } from "../avoid_executor.ts";
import { closeStart, hasEnded, type Run, type Task } from "../job.ts";
import { type OwnerState, policyOf, stopRun } from "../owned/owner_state.ts";
import { isOnProbation } from "../placed/probation.ts";
import { mayReserve } from "../placed/reserved/reservation_books.ts";
import type { RunEnd } from "../ports.ts";
import type { ExecutorState } from "../executor_state.ts";
import { finishIfComplete, finishJob, saveProgress } from "./finish_job.ts";

/**
 * Different jobs with failed runs on an executor, without a successful run in
 * between, after which the executor is suspended.
 */
const SUSPEND_AFTER_JOBS = 3;

/** Time for which a suspended executor gets no tasks. */
const SUSPENSION_MS = 4_000;

/** Largest share of a service's executors that may be suspended at a time. */
const MAX_SUSPENDED_SHARE = 1 / 3;

/** End of a run of a task. */
export type EndedRun = {
  result: RunEnd["result"];
  checkpoint: string;
  /** Number of the run. */
  run: number;
  executor: ExecutorState;
};

/**
 * Records the end of a run that this owner has been tracking: logs it, updates
 * the statistics of its executor and its task, then calls
 * {@linkcode recordRunEnd}.
 */
export function recordTrackedRunEnd(
  owner: OwnerState,
  run: Run,
  end: { result: RunEnd["result"]; checkpoint: string },
): void {
  const { task, executor } = run;
  owner.options.events.log("runEnded", {
    task: task.name,
    run: run.number,
    executor: executor.id,
    how: end.result,
    ranMs: Math.round(performance.now() - run.startedAtMs),
  });
  if (end.result !== "lapsed") closeStart(task, run.number);
  if (!isOnProbation(run)) task.crashes = [];
  if (end.result === "done") {
    executor.consecutiveFailures = 0;
    executor.failedJobs.clear();
    if (run.initialProgressPercent === 0) {
      const durationMs = performance.now() - run.startedAtMs;
      task.durationMs = durationMs;
      noteDuration(owner, task, durationMs);
    }
  }
  recordRunEnd(owner, task, { ...end, run: run.number, executor });
}

/** Notes how long a task ran, to estimate the ends of others. */
function noteDuration(
  { options, reservations }: OwnerState,
  { group }: Task,
  durationMs: number,
): void {
  if (!mayReserve(options)) return;
  const { ratios } = reservations.bookOf(group.job.accepted.service);
  ratios.noteEnd(group.step.estimateMs, durationMs);
}

/**
 * Records the end of a run of a task, which may be a run that this owner did
 * not track, and ends the job if all its tasks are done.
 */
export function recordRunEnd(
  owner: OwnerState,
  task: Task,
  end: EndedRun,
): void {
  const { job } = task.group;
  keepCheckpoint(task, end);
  task.lastRunNumber = Math.max(task.lastRunNumber, end.run);
  task.lastEndedRunNumber = Math.max(task.lastEndedRunNumber, end.run);
  task.waitingSinceMs = performance.now();
  if (end.result === "done") markDone(owner, task);
  else if (end.result === "failed") recordFailure(owner, task, end);
  finishIfComplete(owner, job);
  owner.schedulePlacement();
}

/**
 * Keeps the checkpoint of a run that has ended. The members of a gang have to
 * resume from the same one, so that each keeps the newest of any member.
 */
function keepCheckpoint(task: Task, end: EndedRun): void {
  const { checkpoint, run, result } = end;
  if (checkpoint === "") return;
  if (!task.group.step.isGang) {
    task.checkpoint = checkpoint;
    return;
  }
  const { tasks } = task.group;
  // What was last seen of a lost member is older than what the others saved.
  const isOutdated = result === "lapsed" && task.checkpoint !== "" &&
    tasks.some(({ lastEndedRunNumber }) => lastEndedRunNumber >= run);
  if (isOutdated) return;
  for (const member of tasks) member.checkpoint = checkpoint;
}

function markDone(owner: OwnerState, task: Task): void {
  const { group } = task;
  if (group.step.isLasting) return;
  // A gang runs as a whole, so that the end of one task is the end of all.
  const doneTasks = group.step.isGang ? group.tasks : [task];
  for (const other of doneTasks) {
    if (other.isDone) continue;
    other.isDone = true;
    group.doneCount++;
    if (group.step.isGang) continue;
    for (const run of other.runs) {
      stopRun(owner, run, "another copy of the task finished first");
    }
  }
  saveProgress(owner, group.job);
}

function recordFailure(owner: OwnerState, task: Task, end: EndedRun): void {
  const { job, step } = task.group;
  // No limit applies to the others, so that nothing needs their number.
  const isCounted = !step.isLasting && !task.isDone;
  if (isCounted && !countFailure(owner, task, end.run)) return;
  avoidExecutor(task, end.executor.id);
  recordExecutorFailure(owner, end.executor, job.id);
  if (!isCounted) return;
  saveProgress(owner, job);
  const { maxFailures } = policyOf(owner, job.accepted);
  if (task.failureCount >= maxFailures && !hasEnded(job)) {
    job.hasFailed = true;
    finishJob(owner, job, `${task.name} failed ${task.failureCount} times`);
  }
}

/**
 * Counts a failed run of a task. Returns false if it counts already, as two
 * owners may read the same end.
 */
function countFailure(owner: OwnerState, task: Task, run: number): boolean {
  let runs = owner.failedRuns.get(task.name);
  if (runs === undefined) owner.failedRuns.set(task.name, runs = new Set());
  if (runs.has(run)) return false;
  runs.add(run);
  task.failureCount = runs.size;
  return true;
}

function recordExecutorFailure(
  owner: OwnerState,
  executor: ExecutorState,
  job: string,
): void {
  executor.consecutiveFailures++;
  if (executor.failedJobs.size < SUSPEND_AFTER_JOBS) {
    executor.failedJobs.add(job);
  }
  const hasManyFailures = executor.failedJobs.size >= SUSPEND_AFTER_JOBS;
  if (!hasManyFailures || !maySuspend(owner, executor)) return;
  executor.suspendedUntilMs = performance.now() + SUSPENSION_MS;
  owner.options.events.log("executorSuspended", {
    executor: executor.id,
    failures: executor.consecutiveFailures,
    forMs: SUSPENSION_MS,
  });
}

/**
 * Returns whether one more executor may be suspended. If tasks fail on many
 * executors of a service at the same time, the executors are not the cause.
 */
export function maySuspend(
  owner: OwnerState,
  { report: { service } }: ExecutorState,
): boolean {
  const nowMs = performance.now();
  const ofService = [...owner.executors.values()]
    .filter(({ report }) => report.service === service);
  const suspended = ofService.filter(({ suspendedUntilMs }) =>
    suspendedUntilMs > nowMs
  );
  return suspended.length + 1 <= ofService.length * MAX_SUSPENDED_SHARE;
}
