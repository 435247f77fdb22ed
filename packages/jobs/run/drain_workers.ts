import type { Run, TaskGroup } from "../job.ts";
import { type OwnerState, stopRun } from "../owned/owner_state.ts";
import { isSchedulable, type Worker } from "../worker.ts";

/**
 * Time after a takeover in which stops of the earlier owner may still take
 * effect, so that nothing more is taken away.
 */
const SETTLING_MS = 1_500;

/** Share of its rate at which a task counts as at work, in percent. */
const READY_PERCENT = 100;

/**
 * Moves lasting tasks away from executors that leave or are reserved, never
 * more of a step at a time than its budget allows. Other tasks end there.
 */
export function drainWorkers(owner: OwnerState): void {
  const ownedMs = performance.now() - owner.takenOverAtMs;
  if (owner.unconfirmedExecutors.size > 0 || ownedMs < SETTLING_MS) return;
  for (const worker of owner.workers.values()) {
    const mustLeave = worker.isReserved || worker.report.isDraining;
    if (!mustLeave || worker.isRemoved || worker.failedCalls > 0) continue;
    for (const run of worker.runs) {
      if (!run.task.group.step.isLasting || run.stopReason !== "") continue;
      const isBudgeted = worker.report.isDraining ||
        isWithinDisruptionBudget(run.task.group);
      if (!isBudgeted || !hasCapacityElsewhere(owner, run)) continue;
      stopRun(
        owner,
        run,
        worker.report.isDraining
          ? "its executor leaves"
          : "its executor is reserved",
      );
    }
  }
}

/** Returns whether one more task of a step may be away now. */
export function isWithinDisruptionBudget(group: TaskGroup): boolean {
  const away = group.tasks.filter((task) => !task.runs.some(isReady)).length;
  return away + 1 <= Math.max(group.step.maxAway, 1);
}

function isReady(run: Run): boolean {
  const { failedCalls, isRemoved: isGone } = run.worker;
  // What was last heard of a silent executor says nothing about now.
  if (failedCalls > 0 || isGone) return false;
  return run.state === "running" && run.progressPercent >= READY_PERCENT &&
    run.stopReason === "";
}

/** Returns whether another executor has room for a run. */
export function hasCapacityElsewhere(owner: OwnerState, run: Run): boolean {
  const nowMs = performance.now();
  for (const worker of owner.workers.values()) {
    if (worker === run.worker || !isSchedulable(worker, nowMs)) continue;
    if (fitsOn(run, worker)) return true;
  }
  return false;
}

function fitsOn(run: Run, worker: Worker): boolean {
  const { group } = run.task;
  const { size, label, maxPerExecutor, isFilling } = group.step;
  const { free, report } = worker;
  if (!isFilling && free.cpu < size.cpu) return false;
  if (free.memoryMb < size.memoryMb) return false;
  if (free.accelerators < size.accelerators) return false;
  if (label !== "" && !report.labels.includes(label)) return false;
  if (maxPerExecutor === 0) return true;
  let present = 0;
  for (const other of worker.runs) if (other.task.group === group) present++;
  return present < maxPerExecutor;
}
