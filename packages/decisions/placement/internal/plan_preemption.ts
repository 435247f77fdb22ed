/**
 * Plans the preemption of other jobs for urgent ones.
 *
 * @module
 */

import type { JobSize } from "../../fold/job_state.ts";
import { addSize, fitsInto, knownSize } from "../job_size.ts";
import type { JobRound, Run, Worker } from "./job_round.ts";

/** Limit on the workers that are compared for one urgent job. */
const MAX_COMPARED_WORKERS = 512;

/** Returns the work in core milliseconds that is lost without a checkpoint. */
export function lossOf(run: Run, nowMs: number): number {
  const sinceMs = run.task === undefined
    ? run.job.sinceMs
    : Math.max(run.task.startedAtMs, run.task.checkpointedAtMs ?? 0);
  const { cores, accelerators } = run.size;
  // An accelerator counts as 8 cores, which usually go with one.
  return Math.max(0, nowMs - sinceMs) * (cores + 8 * accelerators);
}

/**
 * Plans that a worker checkpoints and stops a job. The job occupies the worker
 * until its end is in the log.
 */
export function preempt(
  round: JobRound,
  worker: Worker,
  { run, reason }: { run: Run; reason: string },
): void {
  if (run.isPreempted) return;
  run.isPreempted = true;
  if (run.job.state !== "running") return;
  round.actions.push({
    type: "preempt",
    worker: worker.name,
    job: run.name,
    attempt: run.job.attempt,
    reason,
  });
}

/** Options of {@linkcode preemptForJob}. */
export type PreemptForJobOptions = {
  name: string;
  size: JobSize;
  failedWorkers: readonly string[];
};

/**
 * Preempts jobs on the worker where the least work is lost, to make room for an
 * urgent job, and reserves that capacity in this round. Urgent jobs are never
 * preempted. Returns whether a worker was found.
 */
export function preemptForJob(
  round: JobRound,
  options: PreemptForJobOptions,
): boolean {
  const { nowMs } = round.options;
  let best: { worker: Worker; victims: Run[]; loss: number } | undefined;
  let compared = 0;
  for (const worker of round.workers.values()) {
    if (!worker.isSchedulable || worker.isOnTrial) continue;
    if (!fitsInto(options.size, worker.size)) continue;
    if (options.failedWorkers.includes(worker.name)) continue;
    if (++compared > MAX_COMPARED_WORKERS) break;
    const candidates = victimsOf(worker, nowMs);
    // The worker can't be better if its first victim alone loses as much.
    const leastLoss = candidates.find(({ run }) => !run.isPreempted)?.loss ?? 0;
    if (best !== undefined && leastLoss >= best.loss) continue;
    const victims = chooseVictims(worker, options.size, candidates);
    if (victims === undefined) continue;
    const loss = victims.reduce((sum, run) => sum + lossOf(run, nowMs), 0);
    if (best === undefined || loss < best.loss) {
      best = { worker, victims, loss };
    }
  }
  if (best === undefined) return false;
  for (const run of best.victims) {
    addSize(best.worker.freeAfterPreemption, run.size, 1);
    const reason = `urgent job ${options.name} needs its capacity`;
    preempt(round, best.worker, { run, reason });
  }
  addSize(best.worker.freeAfterPreemption, options.size, -1);
  return true;
}

function victimsOf(worker: Worker, nowMs: number) {
  worker.victims ??= worker.runs
    .filter(({ job }) => job.urgency !== "urgent")
    .map((run) => ({ run, loss: lossOf(run, nowMs) }))
    .sort((a, b) => a.loss - b.loss);
  return worker.victims;
}

function chooseVictims(
  worker: Worker,
  size: JobSize,
  candidates: readonly { run: Run; loss: number }[],
): Run[] | undefined {
  if (fitsInto(size, worker.freeAfterPreemption)) return [];
  const free = { ...worker.freeAfterPreemption };
  const victims: Run[] = [];
  for (const { run } of candidates) {
    if (run.isPreempted) continue;
    addSize(free, run.size, 1);
    victims.push(run);
    if (!fitsInto(size, free)) continue;
    return dropUnneededVictims(victims, { free, size });
  }
  return undefined;
}

/** Drops victims whose capacity is not needed, the largest loss first. */
function dropUnneededVictims(
  victims: Run[],
  { free, size }: { free: JobSize; size: JobSize },
): Run[] {
  return victims.toReversed().filter((run) => {
    const rest = { ...free };
    addSize(rest, run.size, -1);
    if (!fitsInto(size, rest)) return true;
    addSize(free, run.size, -1);
    return false;
  });
}

/**
 * Preempts jobs of an urgent job's own team, least loss first, until the team's
 * quota has room for the urgent job.
 */
export function preemptForQuota(
  round: JobRound,
  options: { name: string; team: string; remaining: JobSize; size: JobSize },
): void {
  const { nowMs } = round.options;
  const runs = [...round.workers.values()].flatMap((worker) =>
    worker.runs.filter(({ job, isPreempted }) =>
      job.team === options.team && job.urgency !== "urgent" && !isPreempted
    ).map((run) => ({ worker, run, loss: lossOf(run, nowMs) }))
  ).sort((a, b) => a.loss - b.loss);
  const reason = `urgent job ${options.name} needs the quota`;
  for (const { worker, run } of runs) {
    if (fitsInto(options.size, options.remaining)) break;
    addSize(options.remaining, knownSize(run.job), 1);
    preempt(round, worker, { run, reason });
  }
  addSize(options.remaining, options.size, -1);
}
