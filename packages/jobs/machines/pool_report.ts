import { isGroupReady } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { isWaiting } from "../placed/place_tasks.ts";
import type { Worker } from "../worker.ts";

/** Work of a service in one partition, in thousandths of a core. */
export type ServiceDemand = {
  service: string;
  /** Tasks that run until their job is cancelled. */
  lastingCpu: number;
  /** Other tasks that run. */
  runningCpu: number;
  /** Tasks that could start now if there were room. */
  waitingCpu: number;
  /** Longest wait of such a task in milliseconds. */
  waitedMs: number;
  /** Executors that lasting tasks need, since some must run apart. */
  leastExecutors: number;
};

/** What the owner of a partition tells the owner of the machines. */
export type PoolReport = {
  demand: ServiceDemand[];
  /** Executors that run something. */
  busy: string[];
  /** Executors that run nothing; a reserved one stays so. */
  idle: string[];
};

/**
 * Returns whether an executor surely runs nothing. One that has not answered
 * since the takeover, or is silent, may run what is not known here.
 */
function isIdle(owner: OwnerState, worker: Worker): boolean {
  return worker.runs.size === 0 && worker.clockOffsetMs !== undefined &&
    worker.failedCalls === 0 && !owner.unconfirmedExecutors.has(worker.id);
}

/** Sums up the demand and the executors of a partition. */
export function reportPool(owner: OwnerState): PoolReport {
  const demand = new Map<string, ServiceDemand>();
  const nowMs = performance.now();
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
        const apart = Math.ceil(group.tasks.length / maxPerExecutor);
        entry.leastExecutors = Math.max(entry.leastExecutors, apart);
      }
      for (const task of group.tasks) {
        if (task.runs.length > 0) {
          if (isLasting) entry.lastingCpu += size.cpu;
          else entry.runningCpu += size.cpu;
        } else if (isReady && isWaiting(task, nowMs)) {
          entry.waitingCpu += size.cpu;
          const waitedMs = nowMs - task.waitingSinceMs;
          entry.waitedMs = Math.max(entry.waitedMs, Math.round(waitedMs));
        }
      }
    }
  }
  const workers = [...owner.workers.values()].filter(({ isRemoved: isGone }) =>
    !isGone
  );
  return {
    demand: [...demand.values()],
    busy: workers.filter(({ runs }) => runs.size > 0).map(({ id }) => id),
    idle: workers.filter((worker) => isIdle(owner, worker))
      .map(({ id }) => id),
  };
}
