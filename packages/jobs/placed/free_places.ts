/**
 * Places for tasks that are to be moved to other executors.
 *
 * @module
 */

import { isSchedulable } from "../executor_state.ts";
import { hasEnded, isGroupReady, type Run, type Task } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import {
  chooseCandidate,
  createCandidate,
  occupy,
} from "./choose_candidate.ts";
import { isCapacityKnown } from "./known_capacity.ts";
import { mayRun } from "./start_tasks.ts";

/** Places that are left in a round of decisions. */
export type FreePlaces = {
  /**
   * Takes a place for the task of a run on another executor.
   *
   * @returns whether there was one
   */
  take(run: Run): boolean;
};

/**
 * Finds the places that lasting tasks without a run leave, so that no run is
 * stopped for a place that another task gets.
 *
 * @example
 * ```ts
 * const places = findFreePlaces(owner);
 * if (places.take(run)) stopRun(owner, run, "the executor is leaving");
 * ```
 */
export function findFreePlaces(owner: OwnerState): FreePlaces {
  const nowMs = performance.now();
  const executors = [...owner.executors.values()];
  const candidates = executors
    .filter((executor) => isSchedulable(executor, nowMs))
    .filter((executor) => isCapacityKnown(owner, executor))
    .map(createCandidate);

  const takeFor = (task: Task): boolean => {
    const others = candidates.filter(({ executor }) =>
      task.runs.every((run) => run.executor !== executor)
    );
    const candidate = chooseCandidate(task, others, {
      monotonicMs: nowMs,
      mayRun: (group, executor) =>
        mayRun(owner, group, { executors, executor }),
    });
    if (candidate === undefined) return false;
    occupy(candidate, task);
    return true;
  };

  for (const task of lastingTasksWithoutRun(owner)) takeFor(task);
  return { take: ({ task }) => takeFor(task) };
}

/** Returns the lasting tasks that have no run, or one that is being stopped. */
function lastingTasksWithoutRun(owner: OwnerState): Task[] {
  return [...owner.jobs.values()].filter((job) => !hasEnded(job))
    .flatMap(({ groups }) => groups)
    .filter((group) => group.step.isLasting && isGroupReady(group))
    .flatMap(({ tasks }) => tasks)
    .filter(({ runs }) => runs.every(({ stopReason }) => stopReason !== ""));
}
