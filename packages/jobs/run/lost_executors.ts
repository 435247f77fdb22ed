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
import { isUnanswered } from "../executor_state.ts";
import type { Run } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";

/**
 * Time for which an executor has to report a run before a crash of the executor
 * is no longer attributed to its start.
 */
export const PROBATION_MS = 300;

/** Time for which an executor that may have crashed is remembered. */
const LOSS_MEMORY_MS = 60_000;

/** Returns whether a run has outlasted the time after its start. */
export function isProven(run: Run): boolean {
  return run.reportedAtMs - run.startedAtMs >= PROBATION_MS;
}

/**
 * Notes that the runs of an executor are lost. If it has not certainly crashed,
 * the platform's list or its next answer will show whether it has.
 */
export function recordLoss(owner: OwnerState, executor: ExecutorState): void {
  const { id, address, report, runs } = executor;
  // An executor that drains leaves as planned.
  if (report.isDraining || runs.size === 0) return;
  const suspects = [...runs].filter((run) => !isProven(run)).map((run) => ({
    task: run.task,
    number: run.number,
    isConfirmed: !isUnanswered(run),
  }));
  owner.options.events.log("executorLost", {
    executor: id,
    runs: runs.size,
    justStarted: suspects.map(({ task }) => task.name).join(" "),
    hasCrashed: executor.hasCrashed,
  });
  if (executor.hasCrashed) return;
  owner.lostExecutors.set(id, {
    address,
    startedAtMs: report.startedAtMs,
    lostAtMs: performance.now(),
    suspects,
  });
}

/** Notes that an executor whose runs were lost has answered again. */
export function resolveLoss(owner: OwnerState, executor: ExecutorState): void {
  const loss = owner.lostExecutors.get(executor.id);
  if (loss === undefined) return;
  owner.lostExecutors.delete(executor.id);
  const hasCrashed = executor.report.startedAtMs !== loss.startedAtMs;
  logResolution(owner, executor.id, hasCrashed);
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
  for (const [id, { address, startedAtMs, lostAtMs }] of owner.lostExecutors) {
    const newest = newestStarts.get(address) ?? -Infinity;
    const hasCrashed = newest > startedAtMs;
    if (!hasCrashed && lostAtMs > forgottenMs) continue;
    owner.lostExecutors.delete(id);
    if (hasCrashed) logResolution(owner, id, true);
  }
}

function logResolution(
  owner: OwnerState,
  executor: string,
  hasCrashed: boolean,
): void {
  owner.options.events.log("lossResolved", { executor, hasCrashed });
}
