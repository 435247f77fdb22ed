/**
 * Tells crashes of executors from other losses, and which runs had just started
 * there. A lapsed lease alone does not show a crash, since an executor that is
 * cut off goes on running. A crash is certain once another process has the
 * executor's id or its address.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { ExecutorReport } from "../fleet.ts";
import type { SuspectedCrash } from "../ended/crash.ts";
import { openStart, startOf } from "../ended/open_start.ts";
import { recordCrash } from "../ended/record_crash.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import type { Start, TaskStart } from "../ended/suspicion.ts";
import { closeStart, type Run, type Task } from "../job.ts";
import { hasEvidentlyBegun, isOnProbation } from "../placed/probation.ts";
import type { LostExecutor, SuspectRun } from "./lost_executor.ts";

/** Time for which an executor that may have crashed is remembered. */
const LOSS_MEMORY_MS = 60_000;

/**
 * Time for which a task under which an executor has crashed waits after another
 * loss, until it is clear whether that is a crash. Crashed executors are back
 * after some seconds, about as long as their lease.
 */
const HOLD_MS = 3_000;

/** Time between two starts from which a crash is not due to the earlier one. */
const APART_MS = 250;

/** Returns whether an executor drains or its machine was taken away. */
function endsAsPlanned(
  owner: OwnerState,
  { id, report }: ExecutorState,
): boolean {
  return report.isDraining || owner.endedExecutors.has(id);
}

/**
 * Notes that runs of an executor are lost. If it has not certainly crashed, the
 * platform's list or its next answer will show whether it has.
 */
export function recordLoss(
  owner: OwnerState,
  executor: ExecutorState,
  runs: readonly Run[],
): void {
  const { id, address, report } = executor;
  if (endsAsPlanned(owner, executor) || runs.length === 0) return;
  const onProbation = runs.filter(isOnProbation);
  // Runs without an answer may have started last, although they are kept.
  const others = [...executor.runs].filter(isOnProbation);
  const suspects = onProbation.map((run) => ({
    task: run.task,
    crash: suspectCrash(run, others),
  }));
  logLoss(owner, executor, runs);
  if (executor.hasCrashed) return recordCrashes(owner, id, suspects);
  const lostAtMs = performance.now();
  const { startedAtMs } = report;
  owner.lostExecutors.set(id, { address, startedAtMs, lostAtMs, suspects });
  for (const run of onProbation) {
    const { task } = run;
    if (task.crashes.length > 0) task.heldUntilMs = lostAtMs + HOLD_MS;
    // The next owner may be the first one to learn of a crash.
    openStart(owner, run);
  }
}

/**
 * Notes a start of an earlier owner that may have crashed its executor. The
 * list or the next answer of the executor will show whether it has.
 */
export function suspectStart(
  owner: OwnerState,
  task: Task,
  { run, executor, address, startedAtMs, isConfirmed = false }: Start,
): void {
  const lostAtMs = performance.now();
  const crash = { run, isConfirmed, startedLast: true };
  const loss = owner.lostExecutors.get(executor) ??
    { address, startedAtMs, lostAtMs, suspects: [] };
  loss.suspects.push({ task, crash });
  owner.lostExecutors.set(executor, loss);
  if (task.crashes.length > 0) task.heldUntilMs = lostAtMs + HOLD_MS;
}

/** Returns the starts that may have crashed executors, for the next owner. */
export function unresolvedStarts(owner: OwnerState): TaskStart[] {
  const starts: TaskStart[] = [];
  for (const [executor, loss] of owner.lostExecutors) {
    const { address, startedAtMs, suspects } = loss;
    for (const { task, crash: { run, isConfirmed } } of suspects) {
      const start = { run, executor, address, startedAtMs, isConfirmed };
      starts.push({ task: task.name, ...start });
    }
  }
  for (const { failedCalls, runs } of owner.executors.values()) {
    if (failedCalls === 0) continue;
    for (const run of [...runs].filter(isOnProbation)) {
      starts.push({ task: run.task.name, ...startOf(run) });
    }
  }
  return starts;
}

/** Returns what speaks for a crash by a run, beside others on probation. */
function suspectCrash(
  run: Run,
  onProbation: readonly Run[],
): SuspectedCrash {
  const { number, startedAtMs, task } = run;
  return {
    run: number,
    isConfirmed: hasEvidentlyBegun(run),
    startedLast: onProbation.every((other) =>
      other.task === task || other.startedAtMs + APART_MS <= startedAtMs
    ),
  };
}

/**
 * Notes that an executor has crashed whose runs may be on its next process. For
 * each that is not, the crash counts once that is certain.
 */
export function deferLoss(
  owner: OwnerState,
  executor: ExecutorState,
  runs: readonly Run[],
): void {
  if (endsAsPlanned(owner, executor) || runs.length === 0) return;
  logLoss(owner, executor, runs);
  const onProbation = [...executor.runs].filter(isOnProbation);
  for (const run of runs.filter(isOnProbation)) {
    run.pendingCrash ??= suspectCrash(run, onProbation);
  }
}

/** Counts the crash of a run's executor that was not certain to concern it. */
export function recordPendingCrash(owner: OwnerState, run: Run): void {
  const { task, executor: { id: executor }, pendingCrash: crash } = run;
  if (crash !== undefined) recordCrash(owner, { task, executor, crash });
}

/** Notes that an executor whose runs were lost has answered again. */
export function resolveLoss(owner: OwnerState, executor: ExecutorState): void {
  const loss = owner.lostExecutors.get(executor.id);
  if (loss === undefined) return;
  owner.lostExecutors.delete(executor.id);
  const hasCrashed = executor.report.startedAtMs !== loss.startedAtMs;
  logResolution(owner, executor.id, hasCrashed);
  releaseTasks(loss);
  if (hasCrashed) recordCrashes(owner, executor.id, loss.suspects);
}

/** Lets the tasks that waited for news of a lost executor start again. */
function releaseTasks({ suspects }: LostExecutor): void {
  for (const { task, crash: { run } } of suspects) {
    closeStart(task, run);
    if (run >= task.lastEndedRunNumber) task.heldUntilMs = 0;
  }
}

/** Looks for lost executors whose end the platform's list shows. */
export function resolveLosses(
  owner: OwnerState,
  reports: ReadonlyMap<string, ExecutorReport>,
): void {
  if (owner.lostExecutors.size === 0) return;
  const newestStarts = new Map<string, number>();
  for (const { address, startedAtMs } of reports.values()) {
    const newest = newestStarts.get(address) ?? -Infinity;
    newestStarts.set(address, Math.max(newest, startedAtMs));
  }
  const forgottenMs = performance.now() - LOSS_MEMORY_MS;
  for (const [id, loss] of owner.lostExecutors) {
    const newest = newestStarts.get(loss.address) ?? -Infinity;
    const hasCrashed = newest > loss.startedAtMs;
    if (!hasCrashed && loss.lostAtMs > forgottenMs) continue;
    owner.lostExecutors.delete(id);
    releaseTasks(loss);
    if (!hasCrashed) continue;
    logResolution(owner, id, true);
    recordCrashes(owner, id, loss.suspects);
  }
}

function recordCrashes(
  owner: OwnerState,
  executor: string,
  suspects: readonly SuspectRun[],
): void {
  for (const { task, crash } of suspects) {
    recordCrash(owner, { task, executor, crash });
  }
}

function logLoss(
  owner: OwnerState,
  { id, hasCrashed }: ExecutorState,
  runs: readonly Run[],
): void {
  const justStarted = runs.filter(isOnProbation).map(({ task }) => task.name);
  owner.options.events.log("executorLost", {
    executor: id,
    runs: runs.length,
    justStarted: justStarted.join(" "),
    hasCrashed,
  });
}

function logResolution(
  owner: OwnerState,
  executor: string,
  hasCrashed: boolean,
): void {
  owner.options.events.log("lossResolved", { executor, hasCrashed });
}
