/**
 * Log lines that tell what an owner holds of an executor and why.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { Run } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";

/** Logs by which evidence runs of an executor count as ended. */
export function logGivenUp(
  owner: OwnerState,
  executor: ExecutorState,
  runs: readonly Run[],
): void {
  const { answeredAtMs, leaseEndsMs, hasRestarted, report } = executor;
  const nowMs = performance.now();
  const sinceMs = (ms: number) => ms > 0 ? Math.round(nowMs - ms) : -1;
  owner.options.events.log("runsGivenUp", {
    executor: executor.id,
    runs: runs.length,
    evidence: hasRestarted ? "restart" : leaseEndsMs === 0 ? "end" : "lease",
    startedAtMs: report.startedAtMs,
    silentMs: sinceMs(answeredAtMs),
    leaseOverMs: sinceMs(leaseEndsMs),
    confirmedMs: sinceMs(owner.options.undisputedAtMs()),
  });
}

/** Logs that another process has the id of an executor, and what shows it. */
export function logRestart(
  owner: OwnerState,
  { id, runs, report: { startedAtMs } }: ExecutorState,
  shownBy: "answer" | "list",
): void {
  const fields = { executor: id, runs: runs.size, shownBy, startedAtMs };
  owner.options.events.log("executorRestarted", fields);
}

/** Logs when an executor stops answering, and when it answers again. */
export function logReachability(
  owner: OwnerState,
  executor: ExecutorState,
): void {
  const { failedCalls, silentSinceMs } = executor;
  const isSilent = failedCalls > 0;
  if (isSilent === (silentSinceMs !== undefined)) return;
  const nowMs = performance.now();
  executor.silentSinceMs = isSilent ? nowMs : undefined;
  if (isSilent) {
    owner.options.events.log("executorSilent", {
      executor: executor.id,
      runs: executor.runs.size,
      reason: executor.lastFailure,
    });
    return;
  }
  owner.options.events.log("executorAnswering", {
    executor: executor.id,
    silentMs: Math.round(nowMs - silentSinceMs!),
  });
}
