/**
 * Reports the demand and the executors of one partition to the owner of the
 * machines.
 *
 * @module
 */

import { isPlaceable } from "../job.ts";
import { isGroupReady } from "../occurrences.ts";
import { createPlacementBudget } from "../organisations/caps/placement_budget.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { findFreePlaces } from "../placed/free_places.ts";
import type { ExecutorState } from "../executor_state.ts";

/** Demand of a service in one partition; `*Cpu` in thousandths of a core. */
export type ServiceDemand = {
  service: string;
  /** Running tasks that last until their job is cancelled. */
  lastingCpu: number;
  /** Other running tasks. */
  runningCpu: number;
  /** Tasks that could start now if there were capacity. */
  waitingCpu: number;
  /** Longest wait of such a task, in milliseconds. */
  waitedMs: number;
  /**
   * Smallest number of executors for the lasting tasks, some of which have to
   * run on different executors.
   */
  leastExecutors: number;
};

/** Report of a partition's owner to the owner of the machines. */
export type PartitionReport = {
  demand: ServiceDemand[];
  /** Executors that run at least one task. */
  busy: string[];
  /**
   * Executors that certainly run nothing and that no lasting task is to get;
   * reserved ones get no new tasks.
   */
  idle: string[];
};

/**
 * Returns whether an executor certainly runs nothing. One that is unreachable,
 * or has not answered since the takeover, may run tasks unknown to this owner.
 */
function isIdle(owner: OwnerState, executor: ExecutorState): boolean {
  return executor.runs.size === 0 && executor.untrackedRuns.size === 0 &&
    executor.clockOffsetMs !== undefined && executor.failedCalls === 0 &&
    !owner.unconfirmedExecutors.has(executor.id);
}

/** Returns the report of a partition. */
export function reportPartition(owner: OwnerState): PartitionReport {
  const demand = new Map<string, ServiceDemand>();
  const nowMs = performance.now();
  // Machines are no help for tasks beyond the cap of their organisation.
  const budget = createPlacementBudget(owner, (_, cap) => cap);
  for (const job of owner.jobs.values()) {
    if (job.endedAtMs !== undefined) continue;
    const { service } = job.accepted;
    let entry = demand.get(service);
    if (entry === undefined) {
      entry = {
        service,
        lastingCpu: 0,
        runningCpu: 0,
        waitingCpu: 0,
        waitedMs: 0,
        leastExecutors: 0,
      };
      demand.set(service, entry);
    }
    for (const group of job.groups) {
      const { size, isFilling, isLasting, maxPerExecutor } = group.step;
      if (isFilling || group.doneCount >= group.tasks.length) continue;
      const isReady = isGroupReady(group);
      if (isLasting && maxPerExecutor > 0) {
        const needed = Math.ceil(group.tasks.length / maxPerExecutor);
        entry.leastExecutors = Math.max(entry.leastExecutors, needed);
      }
      for (const task of group.tasks) {
        if (task.runs.length > 0) {
          if (isLasting) entry.lastingCpu += size.cpu;
          else entry.runningCpu += size.cpu;
        } else if (isReady && isPlaceable(task, { monotonicMs: nowMs })) {
          if (budget?.count(job, size) === 0) continue;
          budget?.take(job, size);
          entry.waitingCpu += size.cpu;
          const waitedMs = nowMs - task.waitingSinceMs;
          entry.waitedMs = Math.max(entry.waitedMs, Math.round(waitedMs));
        }
      }
    }
  }
  const { kept } = findFreePlaces(owner);
  const executors = [...owner.executors.values()].filter(({ isRemoved }) =>
    !isRemoved
  );
  return {
    demand: [...demand.values()],
    busy: executors.filter(({ runs }) => runs.size > 0).map(({ id }) => id),
    idle: executors.filter((executor) => isIdle(owner, executor))
      .map(({ id }) => id)
      .filter((id) => !kept.has(id)),
  };
}
