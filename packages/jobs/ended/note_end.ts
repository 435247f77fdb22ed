import { hasEnded, isComplete, type Run, type Task } from "../job.ts";
import { type OwnerState, queueOf, stopRun } from "../owned/owner_state.ts";
import type { RunEnd } from "../ports.ts";
import type { Worker } from "../worker.ts";
import { finishJob, saveJob } from "./finish_job.ts";

/** Ends as failed in a row, of different jobs, that suspend an executor. */
const SUSPEND_AFTER_JOBS = 3;

/** Time for which a failing executor gets no work. */
const SUSPENSION_MS = 4_000;

/** Largest part of the executors that are suspended at the same time. */
const MAX_SUSPENDED_SHARE = 1 / 3;

/** End of a run of a task. */
export type End = {
  result: RunEnd["result"];
  checkpoint: string;
  run: number;
  worker: Worker;
};

/** Notes the end of a run that is in the book. */
export function noteRunEnd(
  owner: OwnerState,
  run: Run,
  end: { result: RunEnd["result"]; checkpoint: string },
): void {
  const { task, worker } = run;
  owner.options.events.log("runEnded", {
    task: task.name,
    run: run.number,
    executor: worker.id,
    how: end.result,
    ranMs: Math.round(performance.now() - run.startedAtMs),
  });
  if (end.result === "done") {
    worker.consecutiveFailures = 0;
    worker.failedJobs.clear();
    if (run.initialProgressPercent === 0) {
      task.durationMs = performance.now() - run.startedAtMs;
    }
  }
  noteEnd(owner, task, { ...end, run: run.number, worker });
}

/** Notes an end of a task and what follows from it for its job. */
export function noteEnd(owner: OwnerState, task: Task, end: End): void {
  const { job } = task.group;
  if (end.checkpoint !== "") task.checkpoint = end.checkpoint;
  task.lastRunNumber = Math.max(task.lastRunNumber, end.run);
  task.lastEndedRunNumber = Math.max(task.lastEndedRunNumber, end.run);
  task.waitingSinceMs = performance.now();
  if (end.result === "done") noteDone(owner, task);
  else if (end.result === "failed") noteFailure(owner, task, end);
  if (!hasEnded(job) && isComplete(job)) {
    finishJob(owner, job, "all tasks have ended");
  }
  owner.schedulePlacement();
}

function noteDone(owner: OwnerState, task: Task): void {
  const { group } = task;
  if (group.step.isLasting) return;
  // One end of a gang stands for all of its members.
  const ended = group.step.isGang ? group.tasks : [task];
  for (const member of ended) {
    if (member.isDone) continue;
    member.isDone = true;
    group.doneCount++;
    if (group.step.isGang) continue;
    for (const run of member.runs) {
      stopRun(owner, run, "a copy has ended first");
    }
  }
  saveJob(owner, group.job);
}

function noteFailure(owner: OwnerState, task: Task, end: End): void {
  const { job, step } = task.group;
  let runs = owner.failedRuns.get(task.name);
  if (runs === undefined) owner.failedRuns.set(task.name, runs = new Set());
  // A later owner may read the same end again.
  if (runs.has(end.run)) return;
  runs.add(end.run);
  task.failureCount = runs.size;
  task.avoidedExecutors.add(end.worker.id);
  suspectWorker(owner, end.worker, job.id);
  if (step.isLasting) return;
  saveJob(owner, job);
  const maxFailures = queueOf(owner, job)?.maxFailures ?? Infinity;
  if (task.failureCount >= maxFailures && !hasEnded(job)) {
    job.hasFailed = true;
    finishJob(owner, job, `${task.name} failed ${task.failureCount} times`);
  }
}

function suspectWorker(owner: OwnerState, worker: Worker, job: string): void {
  worker.consecutiveFailures++;
  worker.failedJobs.add(job);
  const isSuspect = worker.failedJobs.size >= SUSPEND_AFTER_JOBS;
  if (!isSuspect || !maySuspend(owner)) return;
  worker.suspendedUntilMs = performance.now() + SUSPENSION_MS;
  owner.options.events.log("executorSuspended", {
    executor: worker.id,
    failures: worker.consecutiveFailures,
    forMs: SUSPENSION_MS,
  });
}

/** Failures of many executors at once have another cause than these. */
export function maySuspend(owner: OwnerState): boolean {
  const nowMs = performance.now();
  let suspended = 0;
  for (const { suspendedUntilMs } of owner.workers.values()) {
    if (suspendedUntilMs > nowMs) suspended++;
  }
  return suspended + 1 <= owner.workers.size * MAX_SUSPENDED_SHARE;
}
