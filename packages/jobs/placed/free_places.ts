/**
 * Places for tasks that are to be moved to other executors.
 *
 * @module
 */

import { isSchedulable } from "../executor_state.ts";
import {
  hasEnded,
  isBeingStopped,
  isPlaceable,
  type Run,
  type Task,
} from "../job.ts";
import { isGroupReady } from "../occurrences.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import {
  type ChooseOptions,
  createCandidate,
  takePlace,
} from "./choose_candidate.ts";
import { isCapacityKnown } from "./known_capacity.ts";
import { mayRun } from "./start_tasks.ts";

/** Places that are left in a round of decisions. */
export type FreePlaces = {
  /** Executors with a place that a lasting task without a run is to get. */
  kept: ReadonlySet<string>;
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

  const options: ChooseOptions = {
    monotonicMs: nowMs,
    mayRun: (group, executor) => mayRun(owner, group, { executors, executor }),
  };
  const kept = new Set<string>();
  for (const task of lastingTasksToPlace(owner, nowMs)) {
    const candidate = takePlace(task, candidates, options);
    if (candidate !== undefined) kept.add(candidate.executor.id);
  }
  return {
    kept,
    take: ({ task }) => takePlace(task, candidates, options) !== undefined,
  };
}

/** Returns the lasting tasks that could start now or are being stopped. */
function lastingTasksToPlace(owner: OwnerState, nowMs: number): Task[] {
  return [...owner.jobs.values()].filter((job) => !hasEnded(job))
    .flatMap(({ groups }) => groups)
    .filter((group) => group.step.isLasting && isGroupReady(group))
    .flatMap(({ tasks }) => tasks)
    .filter((task) =>
      isPlaceable(task, { monotonicMs: nowMs }) || isBeingStopped(task)
    );
}
