import type { JobSize } from "../../fold/job_state.ts";
import { addSize, fitsInto } from "../job_size.ts";
import type { JobRound, Worker } from "./job_round.ts";

/**
 * Fitting workers that are compared for one job. The search begins with the
 * least room, so that further ones are hardly ever better.
 */
const MAX_COMPARED = 32;

/** Leftover cores that one more job of the team in the same rack outweighs. */
const RACK_PENALTY_CORES = 2;

/** Open workers by free accelerators and whole free cores. */
export type WorkerIndex = {
  bins: Map<number, Worker[][]>;
  /** Running jobs by team and rack. */
  racks: Map<string, Map<string, number>>;
};

/** Indexes the open workers that are not on trial. */
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
 * Finds the worker that a job fits best: least accelerators left over, then
 * least cores, then spread over racks.
 */
export function findWorker(
  index: WorkerIndex,
  options: FindWorkerOptions,
): Worker | undefined {
  const acceleratorCounts = [...index.bins.keys()]
    .filter((free) => free >= options.size.accelerators)
    .sort((a, b) => a - b);
  for (const kind of acceleratorCounts) {
    const bins = index.bins.get(kind)!;
    const first = Math.max(0, Math.floor(options.size.cores));
    for (let cores = first; cores < bins.length; cores++) {
      const found = findInBin(index, { ...options, kind, cores });
      if (found !== undefined) return found;
    }
  }
  return undefined;
}

function findInBin(
  index: WorkerIndex,
  options: FindWorkerOptions & { kind: number; cores: number },
): Worker | undefined {
  const { size, team, kind, cores } = options;
  const bin = index.bins.get(kind)![cores];
  const racks = index.racks.get(team);
  let best: Worker | undefined;
  let bestScore = Infinity;
  let compared = 0;
  for (let at = 0; at < (bin?.length ?? 0); at++) {
    const worker = bin![at]!;
    if (!isIn(worker, options)) {
      // The room has changed since it was put here.
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

function isIn(worker: Worker, bin: { kind: number; cores: number }): boolean {
  return worker.isSchedulable && worker.free.accelerators === bin.kind &&
    wholeCores(worker) === bin.cores;
}

/** Takes room on a worker for a job. */
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
  const kind = worker.free.accelerators;
  const cores = wholeCores(worker);
  if (!bins.has(kind)) bins.set(kind, []);
  const coreBins = bins.get(kind)!;
  while (coreBins.length <= cores) coreBins.push([]);
  coreBins[cores]!.push(worker);
}

/** A sum such as 3.9999999 counts as 4. */
function wholeCores(worker: Worker): number {
  return Math.floor(worker.free.cores + 1e-6);
}

function countRack(index: WorkerIndex, team: string, rack: string): void {
  let racks = index.racks.get(team);
  if (racks === undefined) index.racks.set(team, racks = new Map());
  racks.set(rack, (racks.get(rack) ?? 0) + 1);
}
