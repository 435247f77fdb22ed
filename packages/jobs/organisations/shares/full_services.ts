/**
 * Decision whether a service is full, so that jobs beyond the weight of their
 * organisation are refused where they arrive. It answers a load that grows
 * faster than the service can work: such jobs would only wait behind all others
 * until their callers have given up.
 *
 * @module
 */

import {
  type ExecutorState,
  freeCapacityOf,
  isSchedulable,
  isWithin,
  occupiedBy,
} from "../../executor_state.ts";
import type { Configuration } from "../../fleet.ts";
import {
  dueTimeOf,
  hasEnded,
  isPlaceable,
  type Job,
  type PlacementTimes,
  type TaskGroup,
} from "../../job.ts";
import { isGroupDone, isGroupReady } from "../../occurrences.ts";
import { latenessOf, remainingStepsOf } from "../../placed/due_time.ts";
import { findObstacle } from "../../placed/find_obstacle.ts";
import type { Size } from "../../submission.ts";
import { addSize, noCapacity } from "../../_sizes.ts";
import type { WeightBuckets } from "./weight_buckets.ts";

/** Wait of a task that can't be a short peak any more, in milliseconds. */
const FULL_AFTER_MS = 500;

/** Organisation that has used up what its weight allows at the moment. */
export type SpentWeight = {
  organisation: string;
  /** Milliseconds until its weight allows one more job. */
  readyInMs: number;
  /** Milliseconds for which its weight allows one job. */
  intervalMs: number;
};

/** Service that is full, with the organisations that it refuses first. */
export type FullService = { service: string; spent: SpentWeight[] };

/** Jobs and executors of an owner, and the current times. */
export type ServiceLoad = PlacementTimes & {
  jobs: Iterable<Job>;
  executors: readonly ExecutorState[];
  /** Current Unix time in milliseconds. */
  unixMs: number;
};

/**
 * Returns whether a service is full: short tasks that some executor could run
 * wait for longer than a moment, and more of them than there is room for. Jobs
 * that nobody waits for any more do not count.
 */
export function isFull(service: string, load: ServiceLoad): boolean {
  const executors = load.executors.filter((executor) =>
    executor.report.service === service &&
    isSchedulable(executor, load.monotonicMs)
  );
  const free = sumFree(executors);
  const demand = noCapacity();
  let hasLongWait = false;
  for (const job of load.jobs) {
    if (hasEnded(job) || job.accepted.service !== service) continue;
    for (const group of job.groups) {
      const waiting = waitingTasksOf(group, load);
      if (waiting.length === 0 || !canRun(group, executors)) continue;
      addSize(demand, occupiedBy(group), waiting.length);
      // The tasks of a later step count as waiting since before its turn.
      const isFirst = group.step.dependsOn.length === 0;
      const waitedMs = load.monotonicMs - waiting[0]!.waitingSinceMs;
      if (isFirst && waitedMs >= FULL_AFTER_MS) hasLongWait = true;
      if (hasLongWait && !isWithin(demand, free)) return true;
    }
  }
  return false;
}

function sumFree(executors: readonly ExecutorState[]): Size {
  const sum = noCapacity();
  for (const executor of executors) {
    const { cpu, memoryMb, accelerators } = freeCapacityOf(executor);
    addSize(sum, {
      cpu: Math.max(0, cpu),
      memoryMb: Math.max(0, memoryMb),
      accelerators: Math.max(0, accelerators),
    });
  }
  return sum;
}

/** Returns the tasks of a group that compete for capacity by shares. */
function waitingTasksOf(group: TaskGroup, load: ServiceLoad) {
  const { isLasting, isFilling } = group.step;
  if (isLasting || isFilling) return [];
  if (isGroupDone(group) || !isGroupReady(group)) return [];
  if (isAbandoned(group, load)) return [];
  return group.tasks.filter((task) => isPlaceable(task, load));
}

function isAbandoned(
  { job, occurrence }: TaskGroup,
  { unixMs }: ServiceLoad,
): boolean {
  const remainingMs = dueTimeOf(job, occurrence) - unixMs;
  if (remainingMs >= 0) return false;
  const { objectiveMs } = job;
  const steps = remainingStepsOf(job, occurrence);
  return latenessOf(steps, { objectiveMs, remainingMs }) === "abandoned";
}

/** Returns whether an executor could run a task of a group if it were empty. */
function canRun(
  group: TaskGroup,
  executors: readonly ExecutorState[],
): boolean {
  return executors.some((executor) => {
    const { capacity: free } = executor.report;
    const obstacle = findObstacle(group, executor, { free, placedCount: 0 });
    return obstacle === undefined || obstacle === "spread";
  });
}

/**
 * Returns the full services among some, with the organisations whose further
 * jobs are beyond their weight at the moment.
 *
 * @example
 * ```ts
 * const full = findFullServices(["quoting"], options);
 * ```
 */
export function findFullServices(
  services: readonly string[],
  options: ServiceLoad & Pick<Configuration, "organisations"> & {
    weightBuckets: WeightBuckets;
  },
): FullService[] {
  const spent = findSpent(options);
  if (spent.length === 0) return [];
  return services.filter((service) => isFull(service, options))
    .map((service) => ({ service, spent }));
}

function findSpent(
  { organisations = [], weightBuckets, unixMs }:
    & Pick<Configuration, "organisations">
    & { weightBuckets: WeightBuckets; unixMs: number },
): SpentWeight[] {
  const spent: SpentWeight[] = [];
  for (const { name: organisation, weight } of organisations) {
    const moment = { weight, nowMs: unixMs };
    const readyInMs = weightBuckets.readyInMs(organisation, moment);
    if (readyInMs === 0) continue;
    spent.push({ organisation, readyInMs, intervalMs: 1_000 / weight });
  }
  return spent;
}
