/**
 * Keeps an owner's executors in line with the platform's list, and handles what
 * the sessions with them report.
 *
 * @module
 */

import { findStartedTask, findStep } from "../accepted/apply_records.ts";
import { createRun } from "../create_run.ts";
import { closeOutlastedStarts } from "../ended/open_start.ts";
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
import {
  forgetUsedExecutors,
  recordUsedExecutor,
  recordUsedRestart,
} from "../placed/used_executors.ts";
import type { RunEnd, RunReport } from "../ports.ts";
import {
  addRun,
  createExecutorState,
  type ExecutorState,
  isListed,
  occupiedBy,
  transferRun,
} from "../executor_state.ts";
import { recordRestart } from "./_executor_clock.ts";
import { logGivenUp, logReachability, logRestart } from "./_executor_log.ts";
import {
  deferLoss,
  recordLoss,
  recordPendingCrash,
  resolveLoss,
  resolveLosses,
} from "./lost_executors.ts";
import { foreignLeaseEndsMs, recordLateGrant } from "./late_grants.ts";
import {
  hasLateStarts,
  recordLateStart,
  stopLateStarts,
} from "./late_starts.ts";
import type { Adoption, ExecutorSession } from "./session_types.ts";
import { createExecutorSession } from "./executor_session.ts";

/** Adds and removes executors as the platform's list says. */
export function refreshExecutors(owner: OwnerState): void {
  if (owner.isClosed || !owner.isLoaded) return;
  const reports = owner.options.view.executors();
  resolveLosses(owner, reports);
  for (const executor of owner.executors.values()) {
    updateExecutor(owner, executor, reports.get(executor.id));
  }
  for (const report of reports.values()) {
    const isKnown = owner.executors.has(report.id) ||
      hasExecutorEnded(owner, report);
    if (!isKnown && belongsToPartition(owner, report)) {
      addExecutor(owner, report);
    }
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
  const confirmed = owner.inheritedRuns?.get(id) ?? [];
  owner.inheritedRuns?.delete(id);
  for (const { task } of confirmed) {
    const blocked = findTask(owner.jobs, task);
    if (blocked !== undefined) {
      blocked.blockedUntilMs = inheritedEndMs(owner, task);
    }
  }
  unblockTasks(owner);
  owner.schedulePlacement();
}

/**
 * Returns the monotonic time until which inherited runs of a task may go on at
 * executors that are not confirmed; 0 if there are none.
 */
function inheritedEndMs(owner: OwnerState, task: string): number {
  let endsMs = 0;
  for (const [executor, runs] of owner.inheritedRuns ?? []) {
    if (!runs.some((run) => run.task === task)) continue;
    const untilMs = owner.unconfirmedExecutors.get(executor) ?? 0;
    endsMs = Math.max(endsMs, untilMs);
  }
  return endsMs;
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
  const unused = [...owner.usedExecutors.keys()].filter((id) =>
    !owner.executors.has(id)
  );
  forgetUsedExecutors(owner, unused);
}

function updateExecutor(
  owner: OwnerState,
  executor: ExecutorState,
  report: ExecutorReport | undefined,
): void {
  if (
    report !== undefined && report.startedAtMs === executor.report.startedAtMs
  ) {
    executor.report = report;
    const hasEnded = executor.hasCrashed || executor.leaseEndsMs === 0;
    if (!executor.isRemoved || hasEnded) return;
    // The same incarnation is back on the list.
    executor.isRemoved = false;
    owner.sessions.get(executor)?.close();
    owner.sessions.set(executor, openSession(owner, executor));
    return;
  }
  if (report !== undefined) {
    const isEarlier = report.startedAtMs < executor.report.startedAtMs;
    if (isEarlier && !executor.hasRestarted) {
      // The entry of an earlier process may be written late; an answer tells.
      owner.sessions.get(executor)?.poll();
      return;
    }
    if (belongsToPartition(owner, report)) {
      // Only an answer shows what earlier owners ran on the new process.
      replaceExecutor(owner, executor, report);
    } else {
      confirmExecutor(owner, executor.id);
      recordRestart(executor, longestLeaseMs(owner.options.maxLeaseMs));
      removeExecutor(owner, executor);
    }
    return;
  }
  if (!executor.isRemoved) {
    executor.isRemoved = true;
    owner.options.events.log("executorGone", {
      executor: executor.id,
      runs: executor.runs.size,
    });
  }
  if (executor.runs.size === 0) removeExecutor(owner, executor);
}

/** Time for which the platform's list may still show an ended executor. */
const ENDED_LISTING_MS = 6_000;

/** Time for which the end of an executor is remembered at least. */
const ENDED_MEMORY_MS = 60_000;

/**
 * Returns whether the list shows an executor that has ended. Another process
 * under its id has to be polled soon, so that it refuses late calls.
 */
function hasExecutorEnded(
  owner: OwnerState,
  { id, startedAtMs }: ExecutorReport,
): boolean {
  const ended = owner.endedExecutors.get(id);
  if (ended === undefined) return false;
  const isOver = performance.now() - ended.endedAtMs >= ENDED_LISTING_MS;
  if (!isOver && startedAtMs === ended.startedAtMs) return true;
  owner.endedExecutors.delete(id);
  return false;
}

/** Notes that an executor has ended, together with all of its runs. */
export function markExecutorEnded(owner: OwnerState, id: string): void {
  confirmExecutor(owner, id);
  const nowMs = performance.now();
  for (const [other, { endedAtMs }] of owner.endedExecutors) {
    if (nowMs - endedAtMs > ENDED_MEMORY_MS) owner.endedExecutors.delete(other);
  }
  const executor = owner.executors.get(id);
  const { startedAtMs } = executor?.report ??
    owner.options.view.executors().get(id) ?? {};
  owner.endedExecutors.set(id, { endedAtMs: nowMs, startedAtMs });
  if (executor === undefined) {
    forgetUsedExecutors(owner, [id]);
    return;
  }
  owner.sessions.get(executor)?.markEnded();
  removeExecutor(owner, executor);
}

/**
 * Removes an executor that has left or ended. While its lease may be valid and
 * it has runs, it stays until they have ended.
 */
function removeExecutor(owner: OwnerState, executor: ExecutorState): void {
  executor.isRemoved = true;
  const nowMs = Math.min(performance.now(), owner.options.undisputedAtMs());
  owner.sessions.get(executor)?.expireRuns(nowMs);
  if (executor.runs.size > 0) return;
  detachExecutor(owner, executor);
  // An unconfirmed executor may still run tasks of an earlier owner.
  if (owner.unconfirmedExecutors.has(executor.id)) return;
  forgetUsedExecutors(owner, [executor.id]);
}

/** Takes an executor off whose runs have ended or moved to the next process. */
function detachExecutor(owner: OwnerState, executor: ExecutorState): void {
  owner.sessions.get(executor)?.close();
  owner.sessions.delete(executor);
  owner.executors.delete(executor.id);
  recordLateGrant(owner, executor);
}

/**
 * Replaces an executor that has restarted under the same id, so that the runs
 * which its process has listed have ended. Any other run may have started on
 * the new process before the restart was noticed, or start there late, so that
 * the session with that process has to clear it up.
 */
function replaceExecutor(
  owner: OwnerState,
  executor: ExecutorState,
  report: ExecutorReport,
): void {
  if (!executor.hasRestarted) logRestart(owner, executor, "list");
  recordRestart(executor, longestLeaseMs(owner.options.maxLeaseMs));
  owner.sessions.get(executor)?.close();
  const next = createExecutorState(report);
  const unlisted = [...executor.runs].filter((run) => !isListed(run));
  // The new process may have answered a call that granted the longest lease.
  next.leaseEndsMs = executor.leaseEndsMs;
  deferLoss(owner, executor, unlisted);
  // The others are lost first: which run started last shows while all are here.
  executor.isRemoved = true;
  owner.sessions.get(executor)?.expireRuns(-Infinity);
  for (const run of unlisted) transferRun(run, next);
  detachExecutor(owner, executor);
  // Its record stays, as refused starts may have prolonged the lease as well.
  recordUsedRestart(owner, next.id);
  if (unlisted.length > 0) recordUsedExecutor(owner, next.id);
  openExecutor(owner, next);
}

function addExecutor(owner: OwnerState, report: ExecutorReport): void {
  openExecutor(owner, createExecutorState(report));
}

function openExecutor(owner: OwnerState, executor: ExecutorState): void {
  const { report } = executor;
  executor.isReserved = owner.reservedExecutors.has(executor.id);
  owner.executors.set(executor.id, executor);
  owner.sessions.set(executor, openSession(owner, executor));
  owner.options.events.log("executorFound", {
    executor: executor.id,
    service: report.service,
    partition: owner.options.partition,
  });
}

function openSession(
  owner: OwnerState,
  executor: ExecutorState,
): ExecutorSession {
  stopLateStarts(owner, executor);
  return createExecutorSession({
    executor,
    executorClient: owner.options.executorClient,
    token: owner.options.epoch,
    leaseMs: owner.options.leaseMs,
    longestLeaseMs: longestLeaseMs(owner.options.maxLeaseMs),
    foreignLeaseEndsMs: () => foreignLeaseEndsMs(owner, executor),
    // A renewed lease would outlast what a handover says, be it the own one or
    // one that the next owner may still read.
    mayRenew: () =>
      !owner.isReleasing && !owner.hasStoredHandover &&
      isOwnershipConfirmed(owner, OWNERSHIP_GRACE_MS),
    hasLateStarts: () => hasLateStarts(owner, executor.id),
    callbacks: {
      onRunEnd(run, end) {
        recordPendingCrash(owner, run);
        recordLateStart(owner, run);
        recordTrackedRunEnd(owner, run, end);
      },
      onLoss(executor, runs) {
        logGivenUp(owner, executor, runs);
        recordLoss(owner, executor, runs);
      },
      onUnknownEnd: (executor, end) => recordUnknownEnd(owner, executor, end),
      onUnknownRun: (executor, report) => adoptRun(owner, executor, report),
      whenStored: owner.progress.whenStored,
      onRestart(executor) {
        logRestart(owner, executor, "answer");
        stopLateStarts(owner, executor);
      },
      onChange: (executor) => handleChange(owner, executor),
      onFenced: () => owner.loseOwnership("executor"),
    },
  });
}

/** Records the end of a run that this owner does not track. */
function recordUnknownEnd(
  owner: OwnerState,
  executor: ExecutorState,
  end: RunEnd,
): void {
  const task = findStartedTask(owner, end.task);
  if (task === undefined) return;
  const { run, result } = end;
  if (task.runs.some(({ number }) => number > run)) {
    owner.options.events.log("endReadLate", {
      task: task.name,
      run,
      executor: executor.id,
      how: result,
    });
  }
  recordRunEnd(owner, task, { ...end, executor });
}

/** Takes over a run of an earlier owner, unless it must stop. */
function adoptRun(
  owner: OwnerState,
  executor: ExecutorState,
  report: RunReport,
): Adoption {
  const task = findStartedTask(owner, report.task);
  if (task === undefined) {
    const step = findStep(owner, report.task);
    return { isAdopted: false, size: step && occupiedBy({ step }) };
  }
  const { job, step } = task.group;
  task.lastRunNumber = Math.max(task.lastRunNumber, report.run);
  const mustStop: Adoption = {
    isAdopted: false,
    size: occupiedBy(task.group),
  };
  if (hasJobEnded(job) || task.isDone) return mustStop;
  if (!step.isSpeculative) {
    // An answer that arrives after a newer one may list a run that has ended.
    const hasRunEnded = report.run <= task.lastEndedRunNumber;
    if (hasRunEnded || task.runs.length > 0) return mustStop;
  }
  const isStartOpen = task.openStarts.some(({ run }) => run === report.run);
  const run: Run = {
    ...createRun(task, executor, { number: report.run }),
    state: "running",
    progressPercent: report.progressPercent,
    initialProgressPercent: report.progressPercent,
    // An executor that lists a run has outlasted it, unless it is suspect.
    confirmedClockMs: isStartOpen ? undefined : -Infinity,
    checkpoint: report.checkpoint,
    load: report.load,
  };
  addRun(run);
  // The lease from the earlier owner may last as long as a new one.
  executor.leaseEndsMs = Math.max(
    executor.leaseEndsMs,
    performance.now() + longestLeaseMs(owner.options.leaseMs),
  );
  job.hasStarted = true;
  owner.options.events.log("runAdopted", {
    task: task.name,
    run: report.run,
    executor: executor.id,
  });
  return { isAdopted: true };
}

function handleChange(owner: OwnerState, executor: ExecutorState): void {
  const hasAnswered = executor.failedCalls === 0 &&
    executor.clockOffsetMs !== undefined;
  if (hasAnswered) {
    if (!executor.hasMoreEnds) confirmExecutor(owner, executor.id);
    resolveLoss(owner, executor);
    closeOutlastedStarts(owner, executor);
  }
  logReachability(owner, executor);
  owner.schedulePlacement();
}
