/**
 * Keeps an owner's executors in line with the platform's list, and handles what
 * the sessions with them report.
 *
 * @module
 */

import { recordRunEnd, recordTrackedRunEnd } from "../ended/record_run_end.ts";
import type { ExecutorReport } from "../fleet.ts";
import { findTask, hasEnded as hasJobEnded, type Run } from "../job.ts";
import { partitionOf } from "../owned/layout.ts";
import {
  isOwnershipConfirmed,
  longestLeaseMs,
  OWNERSHIP_GRACE_MS,
  type OwnerState,
} from "../owned/owner_state.ts";
import { saveUsedExecutors } from "../placed/start_tasks.ts";
import type { RunReport } from "../ports.ts";
import { addRun, createWorker, type Worker } from "../worker.ts";
import type { WorkerSession } from "./session_types.ts";
import { createWorkerSession } from "./worker_session.ts";

/** Adds and removes executors as the platform's list says. */
export function refreshWorkers(owner: OwnerState): void {
  if (owner.isClosed || !owner.isLoaded) return;
  const reports = owner.options.view.executors();
  for (const worker of owner.workers.values()) {
    updateWorker(owner, worker, reports.get(worker.id));
  }
  for (const report of reports.values()) {
    const isKnown = owner.workers.has(report.id) ||
      hasExecutorEnded(owner, report);
    if (!isKnown && belongsToPartition(owner, report)) addWorker(owner, report);
  }
  owner.schedulePlacement();
}

/** Returns whether an executor belongs to the owner's partition. */
export function belongsToPartition(
  owner: OwnerState,
  report: ExecutorReport,
): boolean {
  const { view, partition } = owner.options;
  const assigned = partitionOf(view.layout(), {
    service: report.service,
    key: report.id,
  });
  return assigned === partition;
}

/**
 * Notes that an executor has answered since the takeover, or that all runs of
 * earlier owners on it have certainly ended. Unblocks the tasks that waited for
 * this.
 */
export function confirmExecutor(owner: OwnerState, id: string): void {
  if (!owner.unconfirmedExecutors.delete(id)) return;
  for (const { task } of owner.inheritedRuns?.get(id) ?? []) {
    const blocked = findTask(owner.jobs, task);
    if (blocked !== undefined) blocked.blockedUntilMs = 0;
  }
  owner.inheritedRuns?.delete(id);
  unblockTasks(owner);
  owner.schedulePlacement();
}

/**
 * Ends the takeover once all executors are confirmed: no run of an earlier
 * owner can be unknown any more, so that no task has to wait.
 */
export function unblockTasks(owner: OwnerState): void {
  if (owner.unconfirmedExecutors.size > 0) return;
  owner.blockedUntilMs = 0;
  for (const job of owner.jobs.values()) {
    for (const group of job.groups) {
      for (const task of group.tasks) task.blockedUntilMs = 0;
    }
  }
  forgetUnusedExecutors(owner);
  const { partition, epoch, events } = owner.options;
  const tookMs = Math.round(performance.now() - owner.takenOverAtMs);
  events.log("takeoverComplete", { partition, epoch, tookMs });
  owner.schedulePlacement();
}

/**
 * Forgets executors of earlier owners that can't run anything any more.
 * Otherwise, the next owner would wait until the longest lease of each expires.
 */
function forgetUnusedExecutors(owner: OwnerState): void {
  const unused = [...owner.usedExecutors].filter((id) =>
    !owner.workers.has(id)
  );
  if (unused.length === 0) return;
  for (const id of unused) owner.usedExecutors.delete(id);
  saveUsedExecutors(owner);
}

function updateWorker(
  owner: OwnerState,
  worker: Worker,
  report: ExecutorReport | undefined,
): void {
  if (
    report !== undefined && report.startedAtMs === worker.report.startedAtMs
  ) {
    worker.report = report;
    if (!worker.isRemoved || worker.leaseEndsMs === 0) return;
    // The same incarnation is back on the list.
    worker.isRemoved = false;
    owner.sessions.get(worker)?.close();
    owner.sessions.set(worker, openSession(owner, worker));
    return;
  }
  if (report !== undefined) {
    // The executor has restarted, so that its earlier runs have ended.
    worker.leaseEndsMs = 0;
    confirmExecutor(owner, worker.id);
    removeWorker(owner, worker);
    return;
  }
  if (!worker.isRemoved) {
    worker.isRemoved = true;
    owner.options.events.log("executorGone", {
      executor: worker.id,
      runs: worker.runs.size,
    });
  }
  if (worker.runs.size === 0) removeWorker(owner, worker);
}

/** Time for which the platform's list may still show an ended executor. */
const ENDED_LISTING_MS = 6_000;

/** Returns whether an executor ended because its machine was taken away. */
function hasExecutorEnded(owner: OwnerState, { id }: ExecutorReport): boolean {
  const sinceMs = owner.endedExecutors.get(id);
  if (sinceMs === undefined) return false;
  if (performance.now() - sinceMs < ENDED_LISTING_MS) return true;
  owner.endedExecutors.delete(id);
  return false;
}

/** Notes that an executor has ended, together with all of its runs. */
export function markExecutorEnded(owner: OwnerState, id: string): void {
  confirmExecutor(owner, id);
  owner.endedExecutors.set(id, performance.now());
  const worker = owner.workers.get(id);
  if (worker === undefined) {
    if (owner.usedExecutors.delete(id)) saveUsedExecutors(owner);
    return;
  }
  owner.sessions.get(worker)?.markEnded();
  removeWorker(owner, worker);
}

/**
 * Removes an executor that has left or ended. While its lease may be valid and
 * it has runs, it stays until they have ended.
 */
function removeWorker(owner: OwnerState, worker: Worker): void {
  worker.isRemoved = true;
  const nowMs = Math.min(performance.now(), owner.options.confirmedAtMs());
  owner.sessions.get(worker)?.expireRuns(nowMs);
  if (worker.runs.size > 0) return;
  owner.sessions.get(worker)?.close();
  owner.sessions.delete(worker);
  owner.workers.delete(worker.id);
  // An unconfirmed executor may still run tasks of an earlier owner.
  if (owner.unconfirmedExecutors.has(worker.id)) return;
  if (owner.usedExecutors.delete(worker.id)) saveUsedExecutors(owner);
}

function addWorker(owner: OwnerState, report: ExecutorReport): void {
  const worker = createWorker(report);
  worker.isReserved = owner.reservedExecutors.has(worker.id);
  owner.workers.set(worker.id, worker);
  owner.sessions.set(worker, openSession(owner, worker));
  owner.options.events.log("executorFound", {
    executor: worker.id,
    service: report.service,
    partition: owner.options.partition,
  });
}

function openSession(owner: OwnerState, worker: Worker): WorkerSession {
  return createWorkerSession({
    worker,
    executorClient: owner.options.executorClient,
    fencingToken: owner.options.epoch,
    leaseMs: owner.options.leaseMs,
    // A lease that is renewed during the release would outlast what the
    // handover says.
    mayRenew: () =>
      !owner.isReleasing && isOwnershipConfirmed(owner, OWNERSHIP_GRACE_MS),
    callbacks: {
      onRunEnd: (run, end) => recordTrackedRunEnd(owner, run, end),
      onUnknownEnd(worker, end) {
        const task = findTask(owner.jobs, end.task);
        if (task !== undefined) recordRunEnd(owner, task, { ...end, worker });
      },
      onUnknownRun: (worker, report) => adoptRun(owner, worker, report),
      whenStored: owner.progress.whenStored,
      onChange: (worker) => handleChange(owner, worker),
      onFenced: () => owner.loseOwnership("executor"),
    },
  });
}

/** Takes over a run of an earlier owner; returns false if it must stop. */
function adoptRun(
  owner: OwnerState,
  worker: Worker,
  report: RunReport,
): boolean {
  const task = findTask(owner.jobs, report.task);
  if (task === undefined) return false;
  const { job, step } = task.group;
  task.lastRunNumber = Math.max(task.lastRunNumber, report.run);
  if (hasJobEnded(job) || task.isDone) return false;
  if (!step.isSpeculative) {
    // An answer that arrives after a newer one may list a run that has ended.
    const hasRunEnded = report.run <= task.lastEndedRunNumber;
    if (hasRunEnded || task.runs.length > 0) return false;
  }
  const run: Run = {
    task,
    number: report.run,
    worker,
    state: "running",
    startedAtMs: performance.now(),
    progressPercent: report.progressPercent,
    initialProgressPercent: report.progressPercent,
    reportedAtMs: performance.now(),
    progressedAtMs: performance.now(),
    ratePercent: 100,
    checkpoint: report.checkpoint,
    stopReason: "",
    load: report.load,
  };
  addRun(run);
  // The lease from the earlier owner may last as long as a new one.
  worker.leaseEndsMs = Math.max(
    worker.leaseEndsMs,
    performance.now() + longestLeaseMs(owner.options.leaseMs),
  );
  job.hasStarted = true;
  owner.options.events.log("runAdopted", {
    task: task.name,
    run: report.run,
    executor: worker.id,
  });
  return true;
}

function handleChange(owner: OwnerState, worker: Worker): void {
  const hasAnswered = worker.failedCalls === 0 &&
    worker.clockOffsetMs !== undefined;
  if (hasAnswered) confirmExecutor(owner, worker.id);
  if (worker.failedCalls === 1) {
    owner.options.events.log("executorSilent", {
      executor: worker.id,
      runs: worker.runs.size,
      reason: worker.lastFailure,
    });
  }
  owner.schedulePlacement();
}
