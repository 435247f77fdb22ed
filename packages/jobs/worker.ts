/**
 * Functions on the state of an executor and the capacity that its runs occupy.
 *
 * @module
 */

import type { ExecutorReport } from "./fleet.ts";
import type { Run, Worker } from "./model.ts";

export type { Worker } from "./model.ts";

/** Creates the state of an executor that has not answered a call yet. */
export function createWorker(report: ExecutorReport): Worker {
  return {
    id: report.id,
    address: report.address,
    report,
    runs: new Set(),
    free: { ...report.capacity },
    clockOffsetMs: undefined,
    leaseEndsMs: 0,
    acknowledgedSequence: 0,
    receivedSequence: 0,
    answeredAtMs: -Infinity,
    failedCalls: 0,
    lastFailure: "",
    isRemoved: false,
    isReserved: false,
    consecutiveFailures: 0,
    failedJobs: new Set(),
    suspendedUntilMs: 0,
  };
}

/**
 * Returns the rack of an executor, which is its second label, or its zone if
 * it has no such label.
 */
export function rackOf(worker: Worker): string {
  return worker.report.labels[1] ?? worker.report.zone;
}

/** Adds the size of a run to the free capacity, or subtracts it. */
export function adjustFreeCapacity(run: Run, sign: 1 | -1): void {
  const { size, isFilling } = run.task.group.step;
  const { free } = run.worker;
  if (!isFilling) free.cpu += sign * size.cpu;
  free.memoryMb += sign * size.memoryMb;
  free.accelerators += sign * size.accelerators;
}

/** Adds a run to its task and its worker, where it occupies capacity. */
export function addRun(run: Run): void {
  run.task.runs.push(run);
  run.worker.runs.add(run);
  adjustFreeCapacity(run, -1);
}

/** Removes a run from its task and its worker; does nothing the second time. */
export function removeRun(run: Run): void {
  if (!run.worker.runs.delete(run)) return;
  run.task.runs = run.task.runs.filter((other) => other !== run);
  adjustFreeCapacity(run, 1);
}

/** Returns whether an executor may be given new tasks. */
export function isSchedulable(worker: Worker, nowMs: number): boolean {
  return worker.clockOffsetMs !== undefined && !worker.isRemoved &&
    !worker.report.isDraining && !worker.isReserved &&
    worker.failedCalls === 0 && worker.suspendedUntilMs <= nowMs;
}
