import type { TaskAction } from "../job_plan.ts";
import { USAGE_MARGIN } from "../job_size.ts";
import {
  type JobRound,
  type Room,
  type Run,
  whyNotServing,
} from "./job_round.ts";
import { lossOf, preempt } from "./plan_preemption.ts";

/** Share of the memory at which a worker is close to ending tasks itself. */
const MEMORY_LIMIT = 0.95;

/** Share of the cores above which tasks slow one another down. */
const CORES_LIMIT = 1.05;

/** Time in milliseconds that each step gets before the next one. */
export const OVERUSE_STEP_MS = 10_000;

/** Time in milliseconds between two routine checkpoints of a task. */
const CHECKPOINT_EVERY_MS = 600_000;

/** Routine checkpoints that one round asks for. */
const MAX_CHECKPOINTS = 4;

/** Preempts the jobs of workers that leave. */
export function planDrains(round: JobRound): void {
  for (const room of round.rooms.values()) {
    if (room.runs.length === 0) continue;
    const reason = whyNotServing(round.state, room.name);
    if (reason === undefined || reason === "failed" || reason === "silent") {
      continue;
    }
    for (const run of room.runs) preempt(round, room, { run, reason });
  }
}

/**
 * Acts on workers whose jobs use more than the worker has: throttle, then
 * checkpoint, then stop, each only after a report that shows that the step
 * before did not help. One job per worker is acted on at a time.
 */
export function planOveruse(round: JobRound): void {
  for (const room of round.rooms.values()) {
    if (!isOverused(room)) continue;
    const run = chooseOveruser(round, room);
    const takenAtMs = round.observations.get(room.name)?.takenAtMs ?? 0;
    if (run === undefined) continue;
    const reason = `${room.name} is overused; the job uses ${describeUse(run)}`;
    const step = nextStep(run, takenAtMs);
    if (step !== undefined) {
      round.actions.push(actOn(room, run, { type: step, reason }));
    }
  }
}

function actOn(
  room: Room,
  run: Run,
  { type, reason }: Pick<TaskAction, "type" | "reason">,
): TaskAction {
  const { name: job, job: { attempt } } = run;
  return { type, worker: room.name, job, attempt, reason };
}

function isOverused(room: Room): boolean {
  let cores = 0;
  let memory = 0;
  for (const { task } of room.runs) {
    cores += task?.used.cores ?? 0;
    memory += task?.used.memory_gb ?? 0;
  }
  return cores > CORES_LIMIT * room.size.cores ||
    memory > MEMORY_LIMIT * room.size.memory_gb;
}

/** The largest excess over the declared size first, urgent jobs last. */
function chooseOveruser(round: JobRound, room: Room): Run | undefined {
  const order = (run: Run) => {
    const isExcess = excessOf(run) > 1;
    const isUrgent = run.job.urgency === "urgent";
    return [isExcess ? 0 : isUrgent ? 2 : 1, -excessOf(run)] as const;
  };
  const stopped = new Set(["succeeded", "failed", "stopped", "expired"]);
  return room.runs
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

/** Asks for routine checkpoints, which bound the loss by a failed host. */
export function planCheckpoints(round: JobRound): void {
  const { nowMs } = round.options;
  let count = 0;
  for (const room of round.rooms.values()) {
    for (const run of room.runs) {
      const { task } = run;
      if (task?.state !== "running" || run.isLeaving) continue;
      const lastMs = Math.max(task.startedAtMs, task.checkpointedAtMs ?? 0);
      if (nowMs - lastMs < CHECKPOINT_EVERY_MS) continue;
      const reason = "the last checkpoint is old";
      round.actions.push(actOn(room, run, { type: "checkpoint", reason }));
      if (++count >= MAX_CHECKPOINTS) return;
    }
  }
}
