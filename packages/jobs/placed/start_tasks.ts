/**
 * Starts of waiting tasks on the executors that placement chooses.
 *
 * @module
 */

import { updateOccurrences } from "../accepted/apply_records.ts";
import { avoidExecutor } from "../avoid_executor.ts";
import { closeStart, type Run, type Task, type TaskGroup } from "../job.ts";
import { sharesOf } from "../organisations/shares/shares.ts";
import { mayStart, type OwnerState, policyOf } from "../owned/owner_state.ts";
import { createRun } from "../create_run.ts";
import { openStart } from "../ended/open_start.ts";
import { addRun, type ExecutorState, removeRun } from "../executor_state.ts";
import { logAtCap } from "../organisations/caps/log_at_cap.ts";
import { createPlacementBudget } from "../organisations/caps/placement_budget.ts";
import { mayReserve } from "./reserved/reservation_books.ts";
import { isCapacityKnown } from "./known_capacity.ts";
import {
  type Placement,
  type PlaceOptions,
  placeTasks,
} from "./place_tasks.ts";
import { placeableJobs, prepareJob } from "./prepare_job.ts";
import {
  hasEvidentlyBegun,
  ISOLATION_MS,
  isSuspect,
  PROBE_MS,
} from "./probation.ts";
import {
  isUseStored,
  recordUsedExecutor,
  usableExecutors,
} from "./used_executors.ts";

/**
 * Run numbers per epoch. The runs of an inherited job are numbered from the
 * epoch times this on, above all numbers that earlier owners may have used.
 */
const RUN_NUMBERS_PER_EPOCH = 1_000;

/** Time that a start needs to reach an executor, before it counts there. */
const POLL_MARGIN_MS = 20;

/** Time without new tasks for an executor that was full or unhealthy. */
const REFUSAL_PAUSE_MS = 500;

/**
 * Places the waiting tasks and requests their starts. The capacity for a job
 * without stored progress, or on an executor whose use is not stored, is kept
 * until that is stored.
 */
export function startWaitingTasks(owner: OwnerState): void {
  if (owner.hasStoredHandover) return;
  let hasMore = false;
  for (const job of owner.jobs.values()) {
    if (updateOccurrences(owner, job)) hasMore = true;
  }
  const executors = usableExecutors(owner)
    .filter((executor) => isCapacityKnown(owner, executor));
  const budget = createPlacementBudget(owner);
  const placements = placeTasks(placeableJobs(owner), {
    budget,
    executors,
    monotonicMs: performance.now(),
    undisputedMs: owner.options.undisputedAtMs(),
    unixMs: Date.now(),
    priorityOf: ({ accepted }) => policyOf(owner, accepted).priority,
    mayRun: (group, executor) => mayRun(owner, group, { executors, executor }),
    shares: sharesOf(owner.options.view.configuration()),
    ...(mayReserve(owner.options) ? reservationOptions(owner) : {}),
  });
  if (budget !== undefined) logAtCap(owner, budget);
  const unprepared = prepare(owner, placements);
  const gangRunNumbers = new Map<unknown, number>();
  for (const placement of placements) {
    const { group } = placement.task;
    if (unprepared.has(group)) continue;
    let number = nextRunNumber(owner, placement.task);
    if (group.step.isGang) {
      // All tasks of a gang have to start under the same run number.
      number = gangRunNumbers.get(group) ??
        Math.max(...group.tasks.map((task) => nextRunNumber(owner, task)));
      gangRunNumbers.set(group, number);
    }
    startTask(owner, placement, number);
  }
  owner.reservations.endRound(performance.now());
  if (hasMore && placements.length > 0) owner.schedulePlacement();
}

/** Returns what placement needs to reserve room. */
function reservationOptions(
  owner: OwnerState,
): Pick<PlaceOptions, "reservationsOf" | "isRefused"> {
  return {
    reservationsOf: (service) => owner.reservations.bookOf(service),
    isRefused: (group, executor) =>
      policyOf(owner, group.job.accepted).needsAdvice &&
      (owner.ticketCache?.isRefused(group, executor) ?? false),
  };
}

/**
 * Stores what the next owner has to know of the placed tasks, and returns the
 * groups for which that is not stored yet.
 */
function prepare(
  owner: OwnerState,
  placements: readonly Placement[],
): ReadonlySet<TaskGroup> {
  const unprepared = new Set<TaskGroup>();
  for (const { task: { group }, executor } of placements) {
    const { job } = group;
    if (!isUseStored(owner, executor.id)) {
      recordUsedExecutor(owner, executor.id);
      unprepared.add(group);
    }
    if (!job.hasStoredProgress) {
      prepareJob(owner, job);
      unprepared.add(group);
    }
  }
  return unprepared;
}

/**
 * Returns whether an executor may run a step. If its ticket is not known, it is
 * requested together with those of the other executors.
 */
export function mayRun(
  owner: OwnerState,
  group: TaskGroup,
  { executors, executor }: {
    executors: readonly ExecutorState[];
    executor: ExecutorState;
  },
): boolean {
  if (!policyOf(owner, group.job.accepted).needsAdvice) return true;
  return owner.ticketCache?.mayRun(group, executors, executor) ?? true;
}

function nextRunNumber(owner: OwnerState, task: Task): number {
  const highestInherited = task.group.job.isInherited
    ? owner.options.epoch * RUN_NUMBERS_PER_EPOCH
    : 0;
  return Math.max(task.lastRunNumber, highestInherited) + 1;
}

function startTask(
  owner: OwnerState,
  { task, executor, reason }: Placement,
  number: number,
): void {
  const { job } = task.group;
  job.isPlaced = true;
  task.lastRunNumber = number;
  const run = createRun(task, executor, { number });
  addRun(run);
  owner.options.events.log("taskPlaced", {
    task: task.name,
    run: number,
    executor: executor.id,
    cpu: task.group.step.size.cpu,
    waitedMs: Math.round(performance.now() - task.waitingSinceMs),
    reason,
  });
  if (mayHaveCrashed(task)) openStart(owner, run);
  if (!isSuspect(task)) return void requestStart(owner, run);
  // The next owner has to know of a start whose crash only it may note.
  owner.progress.whenStored(() => startAfterProbe(owner, run));
}

/**
 * Requests the start of a suspect task once its executor had time to answer a
 * poll, so that it is known whether it was up when the start came.
 */
function startAfterProbe(owner: OwnerState, run: Run): void {
  const { executor } = run;
  const probedAtMs = performance.now();
  owner.sessions.get(executor)?.poll();
  setTimeout(() => {
    if (owner.isClosed) return;
    if (executor.answeredAtMs >= probedAtMs) {
      run.probedStartAtMs = performance.now();
    }
    void requestStart(owner, run);
  }, PROBE_MS);
}

/** Requests the start of a run, unless it has ended or is to stop. */
async function requestStart(owner: OwnerState, run: Run): Promise<void> {
  const { task, executor } = run;
  const { job } = task.group;
  const session = owner.sessions.get(executor);
  if (session === undefined || !executor.runs.has(run)) return;
  if (!session.isHeard() && !await session.check()) {
    if (!owner.isClosed) withdrawStart(owner, run, "no answer to a check");
    return;
  }
  if (owner.isClosed || !executor.runs.has(run)) return;
  if (run.state !== "starting" || run.stopReason !== "") return;
  // The next owner relies on both, which may have changed in the meantime.
  if (owner.isReleasing) return;
  if (!mayStart(owner)) {
    const reason = "the ownership is not confirmed or new jobs are not read";
    return withdrawStart(owner, run, reason);
  }
  const ticket = owner.ticketCache?.ticketFor(task.group, executor) ?? "";
  if (isSuspect(task)) {
    setTimeout(session.poll, PROBE_MS);
    setTimeout(session.poll, ISOLATION_MS + POLL_MARGIN_MS);
  }
  const { spec } = job.accepted.submission;
  const outcome = await session.start(run, { spec, ticket });
  const isOpen = task.openStarts.some((start) => start.run === run.number);
  if (isOpen && hasEvidentlyBegun(run)) openStart(owner, run);
  if (outcome === "started") job.hasStarted = true;
  else handleRefusal(owner, run, outcome);
}

/** Takes back a start that was not requested, so that its task waits again. */
function withdrawStart(owner: OwnerState, run: Run, reason: string): void {
  removeRun(run);
  closeStart(run.task, run.number);
  handleRefusal(owner, run, reason);
}

/** Returns whether an executor has crashed under a task, or may have. */
function mayHaveCrashed({ crashes, openStarts }: Task): boolean {
  return crashes.length > 0 || openStarts.length > 0;
}

function handleRefusal(owner: OwnerState, run: Run, outcome: string): void {
  const { task, executor } = run;
  if (outcome === "closed" || outcome === "ended") return;
  owner.options.events.log("startRefused", {
    task: task.name,
    run: run.number,
    executor: executor.id,
    reason: outcome,
  });
  if (outcome === "old") task.lastRunNumber += RUN_NUMBERS_PER_EPOCH;
  if (outcome === "room" || outcome === "unhealthy") {
    executor.suspendedUntilMs = performance.now() + REFUSAL_PAUSE_MS;
  }
  if (outcome === "ticket") owner.ticketCache?.forget(task.group, executor);
  if (outcome === "withdrawn") closeStart(task, run.number);
  if (outcome === "bad" || outcome.startsWith("unknown: ")) {
    avoidExecutor(task, executor.id);
  }
  owner.sessions.get(executor)?.poll();
  owner.schedulePlacement();
}
