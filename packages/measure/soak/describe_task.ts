/**
 * Text about what an owner knows of a task and of its executors.
 *
 * @module
 */

import { freeCapacityOf } from "../../jobs/executor_state.ts";
import { findTask } from "../../jobs/job.ts";
import type { SoakOwner } from "./owner_series.ts";

/** Describes a task and all executors as an owner sees them. */
export function describeTask(
  member: SoakOwner | undefined,
  name: string,
): string {
  if (member === undefined) return "there is no owner";
  const { epoch, owner, endReason } = member;
  const nowMs = performance.now();
  const task = findTask(owner.jobs, name);
  const runs = task?.runs.map(({ number, executor, state, stopReason }) =>
    `run ${number} ${state} on ${executor.id} (${stopReason})`
  );
  const blockedMs = (task?.blockedUntilMs ?? 0) - nowMs;
  const executors = [...owner.executors.values()].map((executor) => {
    const flags = [
      executor.clockOffsetMs === undefined && "unheard",
      executor.failedCalls > 0 && `failedCalls ${executor.failedCalls}`,
      executor.isRemoved && "removed",
      executor.hasRestarted && "restarted",
      executor.isReserved && "reserved",
      executor.report.isDraining && "draining",
      executor.suspendedUntilMs > nowMs && "suspended",
      executor.untrackedRuns.size > 0 &&
      `untracked ${[...executor.untrackedRuns.keys()]}`,
    ].filter((flag) => flag !== false);
    const silentMs = Math.round(nowMs - executor.answeredAtMs);
    return `${executor.id}: ${freeCapacityOf(executor).cpu} mcpu free, ` +
      `answered ${silentMs} ms ago${flags.map((flag) => `, ${flag}`).join("")}`;
  });
  return `owner ${epoch} (${endReason ?? "at work"}, ` +
    `loaded ${owner.isLoaded()}) knows runs [${runs}], blocked for ` +
    `${Math.round(Math.max(blockedMs, 0))} ms; ${executors.join("; ")}`;
}
