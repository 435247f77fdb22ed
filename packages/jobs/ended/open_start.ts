/**
 * Starts whose outcome is not known, which the next owner has to know of.
 *
 * @module
 */

import { closeStart, type Run } from "../job.ts";
import type { ExecutorState } from "../executor_state.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { hasEvidentlyBegun, isOnProbation } from "../placed/probation.ts";
import { saveProgress } from "./finish_job.ts";
import type { Start } from "./suspicion.ts";

/** Returns the start of a run on the current process of its executor. */
export function startOf(run: Run): Start {
  const { number, executor: { id, address, report: { startedAtMs } } } = run;
  const isConfirmed = hasEvidentlyBegun(run);
  return { run: number, executor: id, address, startedAtMs, isConfirmed };
}

/** Stores a start, so that a crash counts that only the next owner notes. */
export function openStart(owner: OwnerState, run: Run): void {
  const { task, number } = run;
  closeStart(task, number);
  task.openStarts.push(startOf(run));
  saveProgress(owner, task.group.job);
}

/**
 * Clears the tasks whose starts an executor has outlasted. A later crash there
 * is not due to them, whichever owner notes it.
 */
export function closeOutlastedStarts(
  owner: OwnerState,
  { runs }: ExecutorState,
): void {
  for (const run of runs) {
    const { task, number } = run;
    const isOpen = task.openStarts.some((start) => start.run === number);
    if (!isOpen && task.crashes.length === 0) continue;
    if (isOnProbation(run)) continue;
    closeStart(task, number);
    task.crashes = [];
    saveProgress(owner, task.group.job);
  }
}
