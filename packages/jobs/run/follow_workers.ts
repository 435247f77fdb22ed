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
import { createWorkerSession, type WorkerSession } from "./worker_session.ts";

/** Compares the executors in use with the list of the platform. */
export function refreshWorkers(owner: OwnerState): void {
  if (owner.isClosed || !owner.isLoaded) return;
  const reports = owner.options.view.executors();
  for (const worker of owner.workers.values()) {
    checkWorker(owner, worker, reports.get(worker.id));
  }
  for (const report of reports.values()) {
    const isKnown = owner.workers.has(report.id) || hasEnded(owner, report);
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
  const own = partitionOf(view.layout(), {
    service: report.service,
    key: report.id,
  });
  return own === partition;
}

/**
 * Notes that an executor has answered since the takeover, or that all that it
 * may have run has surely ended.
 */
export function confirmExecutor(owner: OwnerState, id: string): void {
  if (!owner.unconfirmedExecutors.delete(id)) return;
  for (const { task } of owner.inheritedRuns?.get(id) ?? []) {
    const found = findTask(owner.jobs, task);
    if (found !== undefined) found.blockedUntilMs = 0;
  }
  owner.inheritedRuns?.delete(id);
  unblockTasks(owner);
  owner.schedulePlacement();
}

/** Once all executors have answered, no unknown run can be left. */
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
 * Forgets executors of earlier owners that can't run anything any more. The
 * next owner would wait for each of them until the longest lease is over.
 */
function forgetUnusedExecutors(owner: OwnerState): void {
  const unused = [...owner.usedExecutors].filter((id) =>
    !owner.workers.has(id)
  );
  if (unused.length === 0) return;
  for (const id of unused) owner.usedExecutors.delete(id);
  saveUsedExecutors(owner);
}

function checkWorker(
  owner: OwnerState,
  worker: Worker,
  report: ExecutorReport | undefined,
): void {
  if (
    report !== undefined && report.startedAtMs === worker.report.startedAtMs
  ) {
    worker.report = report;
    if (!worker.isRemoved || worker.leaseEndsMs === 0) return;
    // The executor is back on the list, and it is still the same life.
    worker.isRemoved = false;
    owner.sessions.get(worker)?.close();
    owner.sessions.set(worker, openSession(owner, worker));
    return;
  }
  if (report !== undefined) {
    // A new life holds and runs nothing of the earlier one.
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

/** Time for which the list may hold an executor that has ended. */
const ENDED_LISTING_MS = 6_000;

/** Returns whether an executor has ended, by an order for its machine. */
function hasEnded(owner: OwnerState, { id }: ExecutorReport): boolean {
  const sinceMs = owner.endedExecutors.get(id);
  if (sinceMs === undefined) return false;
  if (performance.now() - sinceMs < ENDED_LISTING_MS) return true;
  owner.endedExecutors.delete(id);
  return false;
}

/** Notes that an executor has surely ended, with all that ran there. */
export function markExecutorEnded(owner: OwnerState, id: string): void {
  confirmExecutor(owner, id);
  owner.endedExecutors.set(id, performance.now());
  const worker = owner.workers.get(id);
  if (worker === undefined) {
    if (owner.usedExecutors.delete(id)) saveUsedExecutors(owner);
    return;
  }
  owner.sessions.get(worker)?.end();
  removeWorker(owner, worker);
}

function removeWorker(owner: OwnerState, worker: Worker): void {
  worker.isRemoved = true;
  const nowMs = Math.min(performance.now(), owner.options.confirmedAtMs());
  owner.sessions.get(worker)?.expire(nowMs);
  if (worker.runs.size > 0) return;
  owner.sessions.get(worker)?.close();
  owner.sessions.delete(worker);
  owner.workers.delete(worker.id);
  // An executor that never answered may still run what an earlier owner began.
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
    executors: owner.options.executorClient,
    token: owner.options.epoch,
    leaseMs: owner.options.leaseMs,
    // A handover says how long the leases last.
    mayRenew: () =>
      !owner.isReleasing && isOwnershipConfirmed(owner, OWNERSHIP_GRACE_MS),
    events: {
      onEnd: (run, end) => recordTrackedRunEnd(owner, run, end),
      onUnknownEnd(worker, end) {
        const task = findTask(owner.jobs, end.task);
        if (task !== undefined) recordRunEnd(owner, task, { ...end, worker });
      },
      onUnknownRun: (worker, report) => adoptRun(owner, worker, report),
      whenStored: owner.progress.whenStored,
      onChange: (worker) => noteAnswer(owner, worker),
      onFenced: () => owner.loseOwnership("executor"),
    },
  });
}

/** Takes over a run that an earlier owner started; false if it must stop. */
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
    // An answer that was overtaken by a later one lists a run that has ended.
    const isOver = report.run <= task.lastEndedRunNumber;
    if (isOver || task.runs.length > 0) return false;
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
  // The lease that the earlier owner gave may last as long as a new one.
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

function noteAnswer(owner: OwnerState, worker: Worker): void {
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
