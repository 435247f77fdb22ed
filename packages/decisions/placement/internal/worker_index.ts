/**
 * Index of the workers that searches for the best fit of a job.
 *
 * @module
 */

import type { JobSize } from "../../fold/job_state.ts";
import { addSize, fitsInto } from "../job_size.ts";
import type { JobRound, Worker } from "./job_round.ts";

/**
 * Limit on the fitting workers of a bin that are compared for one job. The
 * search starts at the bin with the fewest free cores, so further workers are
 * hardly ever better.
 */
const MAX_COMPARED = 32;

/** Free cores that count as much as one job of the team in the same rack. */
const RACK_PENALTY_CORES = 2;

/** Schedulable workers in bins by free accelerators and whole free cores. */
export type WorkerIndex = {
  /**
   * Workers by free accelerators, then by whole free cores as the index. A
   * worker whose free capacity has changed stays in its old bin until a search
   * finds it there.
   */
  bins: Map<number, Worker[][]>;
  /** Numbers of jobs by team and rack. */
  racks: Map<string, Map<string, number>>;
};

/** Indexes the schedulable workers that are not on trial. */
export function indexWorkers(round: JobRound): WorkerIndex {
  const index: WorkerIndex = { bins: new Map(), racks: new Map() };
  for (const worker of round.workers.values()) {
    for (const { job } of worker.runs) countRack(index, job.team, worker.rack);
    if (worker.isSchedulable && !worker.isOnTrial) addToBin(index, worker);
  }
  return index;
}

/** Options of {@linkcode findWorker}. */
export type FindWorkerOptions = {
  size: JobSize;
  team: string;
  failedWorkers: readonly string[];
};

/**
 * Finds the best fit for a job: the worker with the fewest free accelerators,
 * then the fewest free cores, and among similar ones one in a rack with few
 * jobs of the same team.
 */
export function findWorker(
  index: WorkerIndex,
  options: FindWorkerOptions,
): Worker | undefined {
  const acceleratorCounts = [...index.bins.keys()]
    .filter((free) => free >= options.size.accelerators)
    .sort((a, b) => a - b);
  for (const accelerators of acceleratorCounts) {
    const bins = index.bins.get(accelerators)!;
    const first = Math.max(0, Math.floor(options.size.cores));
    for (let cores = first; cores < bins.length; cores++) {
      const found = findInBin(index, { ...options, accelerators, cores });
      if (found !== undefined) return found;
    }
  }
  return undefined;
}

function findInBin(
  index: WorkerIndex,
  options: FindWorkerOptions & { accelerators: number; cores: number },
): Worker | undefined {
  const { size, team, accelerators, cores } = options;
  const bin = index.bins.get(accelerators)![cores];
  const racks = index.racks.get(team);
  let best: Worker | undefined;
  let bestScore = Infinity;
  let compared = 0;
  for (let at = 0; at < (bin?.length ?? 0); at++) {
    const worker = bin![at]!;
    if (!isIn(worker, options)) {
      // Its free capacity has changed since it was put into this bin.
      bin![at--] = bin!.at(-1)!;
      bin!.pop();
      continue;
    }
    if (!fitsInto(size, worker.free)) continue;
    if (!fitsInto(size, worker.freeAfterPreemption)) continue;
    if (options.failedWorkers.includes(worker.name)) continue;
    const score = worker.free.cores +
      RACK_PENALTY_CORES * (racks?.get(worker.rack) ?? 0);
    if (score < bestScore) [best, bestScore] = [worker, score];
    if (++compared >= MAX_COMPARED) break;
  }
  return best;
}

function isIn(
  worker: Worker,
  bin: { accelerators: number; cores: number },
): boolean {
  return worker.isSchedulable &&
    worker.free.accelerators === bin.accelerators &&
    wholeCores(worker) === bin.cores;
}

/** Assigns a job to a worker: reduces its free capacity and reindexes it. */
export function assignJob(
  index: WorkerIndex,
  worker: Worker,
  { size, team }: { size: JobSize; team: string },
): void {
  addSize(worker.free, size, -1);
  addSize(worker.freeAfterPreemption, size, -1);
  countRack(index, team, worker.rack);
  addToBin(index, worker);
}

function addToBin({ bins }: WorkerIndex, worker: Worker): void {
  if (worker.free.cores < 0 || worker.free.accelerators < 0) return;
  const accelerators = worker.free.accelerators;
  const cores = wholeCores(worker);
  if (!bins.has(accelerators)) bins.set(accelerators, []);
  const coreBins = bins.get(accelerators)!;
  while (coreBins.length <= cores) coreBins.push([]);
  coreBins[cores]!.push(worker);
}

/** Returns the whole free cores; a sum such as 3.9999999 counts as 4. */
function wholeCores(worker: Worker): number {
  return Math.floor(worker.free.cores + 1e-6);
}

function countRack(index: WorkerIndex, team: string, rack: string): void {
  let racks = index.racks.get(team);
  if (racks === undefined) index.racks.set(team, racks = new Map());
  racks.set(rack, (racks.get(rack) ?? 0) + 1);
}
