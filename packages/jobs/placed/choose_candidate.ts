/**
 * Choice of an executor for a task, by the capacity that is left in a round of
 * decisions.
 *
 * @module
 */

import {
  type ExecutorState,
  freeCapacityOf,
  isWithin,
  occupiedBy,
  rackOf,
} from "../executor_state.ts";
import type { Task, TaskGroup } from "../job.ts";
import { mayPass, type ReservableRoom } from "./reserved/reservation.ts";
import type { Estimates } from "./reserved/estimate_end.ts";
import { findObstacle, type FindObstacleOptions } from "./find_obstacle.ts";
import {
  findNewTasks,
  isSuspect,
  mustStartAlone,
  type NewTasks,
} from "./probation.ts";

/** Executor with the capacity that is left in a round of decisions. */
export type Candidate = NewTasks & ReservableRoom & {
  /** Tasks that this round has placed there, by group. */
  placed: Map<TaskGroup, number>;
};

/** Options of {@linkcode chooseCandidate}. */
export type ChooseOptions = Pick<FindObstacleOptions, "mayRun"> & {
  /** Current monotonic time in milliseconds. */
  monotonicMs: number;
  /** Estimates of ends; needed where room is reserved. */
  estimates?: Estimates | undefined;
};

/** Creates a candidate on which this round has placed nothing. */
export function createCandidate(executor: ExecutorState): Candidate {
  return {
    executor,
    free: freeCapacityOf(executor),
    freed: [],
    reservations: [],
    spare: undefined,
    placed: new Map(),
    ...findNewTasks(executor),
  };
}

/**
 * Returns the candidate of the lowest cost that can take a task; undefined if
 * none can.
 */
export function chooseCandidate(
  task: Task,
  candidates: readonly Candidate[],
  options: ChooseOptions,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (!fits(task, candidate, options)) continue;
    const cost = costOf(task, candidate);
    if (cost >= bestCost || !leavesReserved(task, candidate, options)) continue;
    [best, bestCost] = [candidate, cost];
  }
  return best;
}

function fits(
  task: Task,
  candidate: Candidate,
  { mayRun, monotonicMs }: ChooseOptions,
): boolean {
  const { group } = task;
  const { executor, free, placed, hasNewTask, hasSuspectTask } = candidate;
  // Most candidates of a busy service are full.
  if (!isWithin(occupiedBy(group), free)) return false;
  if (hasSuspectTask && !group.step.isGang) return false;
  if (hasNewTask && mustStartAlone(task, monotonicMs)) return false;
  const obstacle = findObstacle(group, executor, {
    free,
    placedCount: placed.get(group) ?? 0,
    ...(mayRun === undefined ? {} : { mayRun }),
  });
  return obstacle === undefined;
}

/** Returns whether a task may run beside the reservations on a candidate. */
function leavesReserved(
  { group }: Task,
  candidate: Candidate,
  { monotonicMs, estimates }: ChooseOptions,
): boolean {
  if (candidate.reservations.length === 0 || estimates === undefined) {
    return true;
  }
  return mayPass(group, candidate, { estimates, nowMs: monotonicMs });
}

/** Cost of each latency-sensitive task beside a filling one, in millicores. */
const LATENCY_SENSITIVE_PENALTY_CPU = 20_000;

/** Cost of each task of the group in the same rack, in millicores. */
const RACK_SPREAD_PENALTY_CPU = 4_000;

/** Cost of an executor on which the task failed or was slow, in millicores. */
const AVOIDED_PENALTY_CPU = 100_000_000;

/** Cost of input data in another rack, in millicores. */
const REMOTE_DATA_PENALTY_CPU = 1_000_000;

/** Returns the cost of placing a task on an executor; the lowest is best. */
function costOf(task: Task, candidate: Candidate): number {
  const { step } = task.group;
  const { executor, free } = candidate;
  let cost = free.cpu;
  if (task.avoidedExecutors.has(executor.id)) cost += AVOIDED_PENALTY_CPU;
  if (step.rack !== "" && !executor.report.labels.includes(step.rack)) {
    cost += REMOTE_DATA_PENALTY_CPU;
  }
  if (step.isLasting) {
    // Lasting tasks in the same rack would fail together.
    cost += RACK_SPREAD_PENALTY_CPU * countInRack(task.group, rackOf(executor));
  }
  if (task.crashes.length > 0) {
    // Turns the cost around: one more crash should end as little as possible.
    cost -= 2 * free.cpu;
  } else if (step.isFilling) {
    // Turns the cost around: filling tasks go where most is free.
    cost += -2 * free.cpu +
      LATENCY_SENSITIVE_PENALTY_CPU * countLatencySensitive(executor);
  }
  return cost;
}

function countInRack(group: TaskGroup, rack: string): number {
  let count = 0;
  for (const task of group.tasks) {
    for (const run of task.runs) if (rackOf(run.executor) === rack) count++;
  }
  return count;
}

function countLatencySensitive(executor: ExecutorState): number {
  let count = 0;
  for (const run of executor.runs) {
    if (run.task.group.step.targetMs > 0) count++;
  }
  return count;
}

/**
 * Takes a place for a task on a candidate that does not run it.
 *
 * @returns the candidate, undefined if there is none
 */
export function takePlace(
  task: Task,
  candidates: readonly Candidate[],
  options: ChooseOptions,
): Candidate | undefined {
  const others = candidates.filter(({ executor }) =>
    task.runs.every((run) => run.executor !== executor)
  );
  const candidate = chooseCandidate(task, others, options);
  if (candidate !== undefined) occupy(candidate, task);
  return candidate;
}

/** Subtracts a task from the free capacity of a candidate. */
export function occupy(candidate: Candidate, task: Task): void {
  const { group } = task;
  const { size, isFilling } = group.step;
  candidate.hasNewTask = true;
  candidate.hasSuspectTask ||= isSuspect(task);
  if (!isFilling) candidate.free.cpu -= size.cpu;
  candidate.free.memoryMb -= size.memoryMb;
  candidate.free.accelerators -= size.accelerators;
  candidate.spare = undefined;
  candidate.placed.set(group, (candidate.placed.get(group) ?? 0) + 1);
}
