import type { Run, Task } from "../job.ts";
import { type OwnerState, queueOf } from "../owned/owner_state.ts";
import { USED_EXECUTORS_KEY } from "../topics.ts";
import { addRun } from "../worker.ts";
import { type Placement, placeTasks } from "./place_tasks.ts";

/** Run numbers that an owner leaves to the owners before it, per term. */
const RUNS_PER_TERM = 1_000;

/** Pause for an executor that refused a start for want of room. */
const REFUSAL_PAUSE_MS = 500;

/** Chooses executors for waiting tasks and starts them. */
export function startWaitingTasks(owner: OwnerState): void {
  const { ticketCache: advice } = owner;
  const workers = [...owner.workers.values()];
  const placements = placeTasks(owner.jobs.values(), {
    workers,
    nowMs: performance.now(),
    unixMs: Date.now(),
    priorityOf: (job) => queueOf(owner, job)?.priority ?? 9,
    isAllowed(group, worker) {
      if (queueOf(owner, group.job)?.needsAdvice !== true) return true;
      return advice?.isAllowed(group, workers, worker) ?? true;
    },
  });
  const gangRuns = new Map<unknown, number>();
  for (const placement of placements) {
    const { group } = placement.task;
    let number = nextRunNumber(owner, placement.task);
    if (group.step.isGang) {
      // All members of a gang share one run number.
      number = gangRuns.get(group) ??
        Math.max(...group.tasks.map((task) => nextRunNumber(owner, task)));
      gangRuns.set(group, number);
    }
    startTask(owner, placement, number);
  }
}

function nextRunNumber(owner: OwnerState, task: Task): number {
  const floor = task.group.job.isInherited
    ? owner.options.epoch * RUNS_PER_TERM
    : 0;
  return Math.max(task.lastRunNumber, floor) + 1;
}

function startTask(
  owner: OwnerState,
  { task, worker, reason }: Placement,
  number: number,
): void {
  const { job } = task.group;
  task.lastRunNumber = number;
  const run: Run = {
    task,
    number,
    worker,
    state: "starting",
    startedAtMs: performance.now(),
    progressPercent: 0,
    initialProgressPercent: 0,
    reportedAtMs: performance.now(),
    progressedAtMs: performance.now(),
    ratePercent: 100,
    checkpoint: task.checkpoint,
    stopReason: "",
    load: 0,
  };
  addRun(run);
  useExecutor(owner, worker.id);
  owner.options.events.log("taskPlaced", {
    task: task.name,
    run: number,
    executor: worker.id,
    reason,
  });
  const ticket = owner.ticketCache?.ticketFor(task.group, worker) ?? "";
  const { spec } = job.accepted.submission;
  void owner.sessions.get(worker)!.start(run, { spec, ticket })
    .then((outcome) => {
      if (outcome === "started") job.hasStarted = true;
      else noteRefusal(owner, run, outcome);
    });
}

function noteRefusal(owner: OwnerState, run: Run, outcome: string): void {
  const { task, worker } = run;
  if (outcome === "closed" || outcome === "ended") return;
  owner.options.events.log("startRefused", {
    task: task.name,
    run: run.number,
    executor: worker.id,
    reason: outcome,
  });
  if (outcome === "old") task.lastRunNumber += RUNS_PER_TERM;
  if (outcome === "room" || outcome === "unhealthy") {
    worker.suspendedUntilMs = performance.now() + REFUSAL_PAUSE_MS;
  }
  if (outcome === "ticket") owner.ticketCache?.forget(task.group, worker);
  if (outcome === "bad") task.avoidedExecutors.add(worker.id);
  owner.sessions.get(worker)?.poll();
  owner.schedulePlacement();
}

/** Remembers an executor for the owners that come after this one. */
function useExecutor(owner: OwnerState, id: string): void {
  if (owner.usedExecutors.has(id)) return;
  owner.usedExecutors.add(id);
  saveUsedExecutors(owner);
}

/** Stores the list of executors that may run something of the partition. */
export function saveUsedExecutors(owner: OwnerState): void {
  owner.progress.put(
    USED_EXECUTORS_KEY,
    () => JSON.stringify([...owner.usedExecutors]),
  );
}
