/**
 * Plans preemptions for drains, steps against overuse, and checkpoints.
 *
 * @module
 */

import type { TaskAction } from "../job_plan.ts";
import { USAGE_MARGIN } from "../job_size.ts";
import {
  findServiceBlocker,
  type JobRound,
  type Run,
  type Worker,
} from "./job_round.ts";
import { lossOf, preempt } from "./plan_preemption.ts";

/** Share of the memory above which a worker is close to killing tasks. */
const MEMORY_LIMIT_SHARE = 0.95;

/** Share of the cores above which tasks slow one another down. */
const CORES_LIMIT_SHARE = 1.05;

/** Time in milliseconds that each step gets to take effect. */
export const OVERUSE_STEP_MS = 10_000;

/** Time in milliseconds between two routine checkpoints of a task. */
const CHECKPOINT_INTERVAL_MS = 600_000;

/** Limit on the routine checkpoints of one round. */
const MAX_CHECKPOINTS_PER_ROUND = 4;

/**
 * Preempts the jobs of workers that are leaving or go out of service, but not
 * those of hosts that failed or are silent.
 */
export function planDrains(round: JobRound): void {
  for (const worker of round.workers.values()) {
    if (worker.runs.length === 0) continue;
    const reason = findServiceBlocker(round.state, worker.name);
    if (reason === undefined || reason === "failed" || reason === "silent") {
      continue;
    }
    for (const run of worker.runs) preempt(round, worker, { run, reason });
  }
}

/**
 * Plans steps against jobs that use more than their worker has: throttle, then
 * checkpoint, then stop. Each step follows only after a report that shows that
 * the step before did not help. It acts on one job per worker at a time.
 */
export function planOveruse(round: JobRound): void {
  for (const worker of round.workers.values()) {
    if (!isOverused(worker)) continue;
    const run = chooseOverusingRun(round, worker);
    const takenAtMs = round.observations.get(worker.name)?.takenAtMs ?? 0;
    if (run === undefined) continue;
    const reason = `${worker.name} is overused; the job uses ${
      describeUse(run)
    }`;
    const step = nextStep(run, takenAtMs);
    if (step !== undefined) {
      round.actions.push(createAction(worker, run, { type: step, reason }));
    }
  }
}

function createAction(
  worker: Worker,
  run: Run,
  { type, reason }: Pick<TaskAction, "type" | "reason">,
): TaskAction {
  const { name: job, job: { attempt } } = run;
  return { type, worker: worker.name, job, attempt, reason };
}

function isOverused(worker: Worker): boolean {
  let cores = 0;
  let memory = 0;
  for (const { task } of worker.runs) {
    cores += task?.used.cores ?? 0;
    memory += task?.used.memory_gb ?? 0;
  }
  return cores > CORES_LIMIT_SHARE * worker.size.cores ||
    memory > MEMORY_LIMIT_SHARE * worker.size.memory_gb;
}

/**
 * Returns the job to act on: the one that exceeds its declared size the most,
 * else any job that is not urgent, but never an urgent job within its size.
 */
function chooseOverusingRun(round: JobRound, worker: Worker): Run | undefined {
  const order = (run: Run) => {
    const isExcess = excessOf(run) > 1;
    const isUrgent = run.job.urgency === "urgent";
    return [isExcess ? 0 : isUrgent ? 2 : 1, -excessOf(run)] as const;
  };
  const stopped = new Set(["succeeded", "failed", "stopped", "expired"]);
  return worker.runs
    .filter((run) => run.task !== undefined && !stopped.has(run.task.state))
    .filter((run) => order(run)[0] < 2)
    .sort((a, b) =>
      order(a)[0] - order(b)[0] || order(a)[1] - order(b)[1] ||
      lossOf(a, round.options.nowMs) - lossOf(b, round.options.nowMs)
    )[0];
}

function excessOf({ job: { declared }, task }: Run): number {
  const used = task?.used ?? declared;
  return Math.max(
    used.cores / Math.max(declared.cores, 0.1),
    used.memory_gb / Math.max(declared.memory_gb, 0.1),
  ) / USAGE_MARGIN;
}

function describeUse({ job: { declared }, task }: Run): string {
  const { cores, memory_gb } = task!.used;
  return `${cores} cores and ${memory_gb} GB, declared ${declared.cores} and ${declared.memory_gb}`;
}

function nextStep(
  { task }: Run,
  takenAtMs: number,
): "throttle" | "checkpoint" | "stop" | undefined {
  const throttledAtMs = task?.throttledAtMs;
  if (throttledAtMs === undefined) return "throttle";
  const checkpointedAtMs = task?.checkpointedAtMs ?? 0;
  const isCheckpointed = checkpointedAtMs > throttledAtMs;
  const lastMs = isCheckpointed ? checkpointedAtMs : throttledAtMs;
  if (takenAtMs < lastMs + OVERUSE_STEP_MS) return undefined;
  return isCheckpointed ? "stop" : "checkpoint";
}

/** Plans routine checkpoints, which bound the work lost with a failed host. */
export function planCheckpoints(round: JobRound): void {
  const { nowMs } = round.options;
  let count = 0;
  for (const worker of round.workers.values()) {
    for (const run of worker.runs) {
      const { task } = run;
      if (task?.state !== "running" || run.isPreempted) continue;
      const lastMs = Math.max(task.startedAtMs, task.checkpointedAtMs ?? 0);
      if (nowMs - lastMs < CHECKPOINT_INTERVAL_MS) continue;
      const reason = "the last checkpoint is old";
      round.actions.push(
        createAction(worker, run, { type: "checkpoint", reason }),
      );
      if (++count >= MAX_CHECKPOINTS_PER_ROUND) return;
    }
  }
}
