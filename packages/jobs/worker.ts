import type { ExecutorReport } from "./fleet.ts";
import type { Run } from "./job_book.ts";
import type { Size } from "./submission.ts";

/** One life of an executor as its owner knows it. */
export type Worker = {
  id: string;
  address: string;
  report: ExecutorReport;
  /** Runs that take room there. */
  runs: Set<Run>;
  free: Size;
  /** Clock of the executor less the steady clock, once it has answered. */
  clockOffsetMs: number | undefined;
  /** Steady time after which the executor holds no lease that we gave. */
  leaseEndsMs: number;
  /** Last end that is safely stored. */
  confirmed: number;
  /** Last end that was read. */
  seen: number;
  /** Steady time of the last answer. */
  answeredAtMs: number;
  /** Calls in a row without an answer. */
  failedCalls: number;
  /** Whether the executor left the list or answered as another life. */
  isGone: boolean;
  /** Steady time at which it was first missed. */
  goneAtMs: number;
  /** Whether it is to be emptied for a move or for upkeep. */
  isReserved: boolean;
  /** Ends as failed since the last one that was done. */
  failuresInRow: number;
  /** Different jobs among these. */
  failedJobs: Set<string>;
  /** Steady time until which it gets no work. */
  suspendedUntilMs: number;
  /** Ratio of the time that tasks take there to their usual time. */
  slowness: number;
};

/** Creates the state of an executor that has not answered yet. */
export function createWorker(report: ExecutorReport): Worker {
  return {
    id: report.id,
    address: report.address,
    report,
    runs: new Set(),
    free: { ...report.capacity },
    clockOffsetMs: undefined,
    leaseEndsMs: 0,
    confirmed: 0,
    seen: 0,
    answeredAtMs: -Infinity,
    failedCalls: 0,
    isGone: false,
    goneAtMs: 0,
    isReserved: false,
    failuresInRow: 0,
    failedJobs: new Set(),
    suspendedUntilMs: 0,
    slowness: 1,
  };
}

/** Returns the rack of a worker, which is the second of its labels. */
export function rackOf(worker: Worker): string {
  return worker.report.labels[1] ?? worker.report.zone;
}

/** Takes or gives back the room of a run. */
export function changeRoom(run: Run, sign: 1 | -1): void {
  const { size, isFilling } = run.task.group.step;
  const { free } = run.worker;
  if (!isFilling) free.cpu += sign * size.cpu;
  free.memoryMb += sign * size.memoryMb;
  free.accelerators += sign * size.accelerators;
}

/** Adds a run to its task and its worker. */
export function addRun(run: Run): void {
  run.task.runs.push(run);
  run.worker.runs.add(run);
  changeRoom(run, -1);
}

/** Removes a run from its task and its worker, if it is still there. */
export function removeRun(run: Run): void {
  if (!run.worker.runs.delete(run)) return;
  run.task.runs = run.task.runs.filter((other) => other !== run);
  changeRoom(run, 1);
}

/** Returns whether a worker may be given new tasks. */
export function isUsable(worker: Worker, nowMs: number): boolean {
  return worker.clockOffsetMs !== undefined && !worker.isGone &&
    !worker.report.isDraining && !worker.isReserved &&
    worker.failedCalls === 0 && worker.suspendedUntilMs <= nowMs;
}
