/**
 * Functions on the state of an executor and the capacity that its runs occupy.
 *
 * @module
 */

import type { ExecutorReport } from "./fleet.ts";
import type { ExecutorState, Run, TaskGroup } from "./model.ts";
import type { RunReport } from "./ports.ts";
import type { Size } from "./submission.ts";

export type { ExecutorState } from "./model.ts";

/** Creates the state of an executor that has not answered a call yet. */
export function createExecutorState(report: ExecutorReport): ExecutorState {
  return {
    id: report.id,
    address: report.address,
    report,
    runs: new Set(),
    untrackedRuns: new Map(),
    occupied: { cpu: 0, memoryMb: 0, accelerators: 0 },
    newestClockMs: -Infinity,
    clockOffsetMs: undefined,
    leaseEndsMs: 0,
    grantedUntilMs: 0,
    foreignUntilMs: Infinity,
    openGrants: new Set(),
    acknowledgedSequence: 0,
    hasMoreEnds: false,
    receivedSequence: 0,
    answeredAtMs: -Infinity,
    heardAt: undefined,
    failedCalls: 0,
    lastFailure: "",
    silentSinceMs: undefined,
    isRemoved: false,
    hasRestarted: false,
    hasCrashed: false,
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
export function rackOf(executor: ExecutorState): string {
  return executor.report.labels[1] ?? executor.report.zone;
}

/**
 * Returns whether an executor belongs to the service of a group's job. Services
 * may share a partition, so that its owner has executors of several.
 */
export function isOfService(
  { report }: Pick<ExecutorState, "report">,
  { job }: Pick<TaskGroup, "job">,
): boolean {
  return report.service === job.accepted.service;
}

/** Returns the capacity that a run of a group's task occupies. */
export function occupiedBy({ step }: Pick<TaskGroup, "step">): Size {
  return step.isFilling ? { ...step.size, cpu: 0 } : step.size;
}

/** Returns whether a size is within the free capacity. */
export function isWithin(size: Size, free: Size): boolean {
  return size.cpu <= free.cpu && size.memoryMb <= free.memoryMb &&
    size.accelerators <= free.accelerators;
}

/**
 * Returns the capacity of an executor that no run occupies. It is negative
 * where the capacity has shrunk below what the runs occupy.
 */
export function freeCapacityOf(
  { report: { capacity }, occupied, untrackedRuns }: ExecutorState,
): Size {
  const free = subtract(capacity, occupied);
  const hasUnknownSize = [...untrackedRuns.values()].includes(undefined);
  return hasUnknownSize ? subtract(free, capacity) : free;
}

/** Returns the most of each resource that one of the sizes has. */
export function largestOf(sizes: readonly Size[]): Size {
  const largest: Size = { cpu: 0, memoryMb: 0, accelerators: 0 };
  for (const { cpu, memoryMb, accelerators } of sizes) {
    largest.cpu = Math.max(largest.cpu, cpu);
    largest.memoryMb = Math.max(largest.memoryMb, memoryMb);
    largest.accelerators = Math.max(largest.accelerators, accelerators);
  }
  return largest;
}

function subtract(left: Size, right: Size): Size {
  return {
    cpu: left.cpu - right.cpu,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** Adds a size to the capacity that runs occupy, or subtracts it. */
function adjustOccupied(
  { occupied }: ExecutorState,
  size: Size | undefined,
  sign: 1 | -1,
): void {
  if (size === undefined) return;
  occupied.cpu += sign * size.cpu;
  occupied.memoryMb += sign * size.memoryMb;
  occupied.accelerators += sign * size.accelerators;
}

/** Replaces the runs that an executor reports and its owner has not adopted. */
export function setUntrackedRuns(
  executor: ExecutorState,
  runs: ReadonlyMap<string, Size | undefined>,
): void {
  for (const size of executor.untrackedRuns.values()) {
    adjustOccupied(executor, size, -1);
  }
  for (const size of runs.values()) adjustOccupied(executor, size, 1);
  executor.untrackedRuns = runs;
}

/** Adds a run to its task and its executor, where it occupies capacity. */
export function addRun(run: Run): void {
  run.task.runs.push(run);
  run.executor.runs.add(run);
  adjustOccupied(run.executor, occupiedBy(run.task.group), 1);
}

/** Removes a run from its task and its executor, unless it was removed. */
export function removeRun(run: Run): void {
  if (!run.executor.runs.delete(run)) return;
  run.task.runs = run.task.runs.filter((other) => other !== run);
  adjustOccupied(run.executor, occupiedBy(run.task.group), -1);
}

/** Finds a run on an executor by the name of its task and its number. */
export function findRun(
  { runs }: ExecutorState,
  { task, run }: { task: string; run: number },
): Run | undefined {
  for (const candidate of runs) {
    const { task: { name }, number } = candidate;
    if (name === task && number === run) return candidate;
  }
  return undefined;
}

/** Notes that the current process of a run's executor has listed the run. */
export function markListed(run: Run, clockMs: number): void {
  run.confirmedClockMs ??= clockMs;
  run.listedClockMs = clockMs;
  run.pendingCrash = undefined;
}

/** Notes what an executor reports about a run. */
export function recordReport(
  run: Run,
  { progressPercent, load, checkpoint }: RunReport,
): void {
  run.reportedAtMs = performance.now();
  if (progressPercent > run.progressPercent) {
    run.progressedAtMs = run.reportedAtMs;
  }
  run.progressPercent = progressPercent;
  run.load = load;
  if (checkpoint !== "") run.checkpoint = checkpoint;
}

/**
 * Returns whether the current process of a run's executor has listed the run.
 * An answer alone does not show which process has started it.
 */
export function isListed({ listedClockMs }: Run): boolean {
  return listedClockMs > -Infinity;
}

/** Returns whether the start request of a run has no answer. */
export function isUnanswered({ state }: Run): boolean {
  return state === "starting" || state === "uncertain";
}

/**
 * Moves a run to the next incarnation of its executor. A confirmed stop may
 * have been confirmed by the previous process, so that it has to be repeated.
 */
export function transferRun(run: Run, executor: ExecutorState): void {
  if (run.state === "stopping") run.state = "uncertain";
  const size = occupiedBy(run.task.group);
  run.executor.runs.delete(run);
  adjustOccupied(run.executor, size, -1);
  run.executor = executor;
  run.confirmedClockMs = undefined;
  run.probedStartAtMs = undefined;
  executor.runs.add(run);
  adjustOccupied(executor, size, 1);
}

/** Returns whether an executor may be given new tasks. */
export function isSchedulable(executor: ExecutorState, nowMs: number): boolean {
  return !executor.isReserved && isSound(executor, nowMs);
}

/**
 * Returns whether a reserved executor may be given a lasting task that fits
 * nowhere else. Once nothing runs there, its machine may be taken away.
 */
export function isLastResort(executor: ExecutorState, nowMs: number): boolean {
  return executor.isReserved && executor.runs.size > 0 &&
    isSound(executor, nowMs);
}

function isSound(executor: ExecutorState, nowMs: number): boolean {
  return executor.clockOffsetMs !== undefined && !executor.isRemoved &&
    !executor.report.isDraining && executor.failedCalls === 0 &&
    executor.suspendedUntilMs <= nowMs;
}
