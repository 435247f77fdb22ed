/**
 * Placement of waiting tasks on executors.
 *
 * @module
 */

import {
  dueTimeOf,
  isGroupDone,
  isGroupReady,
  type Job,
  occurrencesOf,
  type Task,
  type TaskGroup,
} from "../job.ts";
import type { Size } from "../submission.ts";
import { latenessOf, remainingWork } from "./due_time.ts";
import {
  type ExecutorState,
  isSchedulable,
  rackOf,
} from "../executor_state.ts";

/** Decision to run a task on an executor. */
export type Placement = { task: Task; executor: ExecutorState; reason: string };

/** Options of {@linkcode placeTasks}. */
export type PlaceOptions = {
  executors: readonly ExecutorState[];
  /** Current monotonic time in milliseconds. */
  monotonicMs: number;
  /** Current Unix time in milliseconds. */
  unixMs: number;
  /** Priority of a job's queue; lower numbers are served first. */
  priorityOf(job: Job): number;
  /** Whether an executor may run a step; true for all if undefined. */
  mayRun?(group: TaskGroup, executor: ExecutorState): boolean;
};

/** Executor with the capacity that is left in this round of placement. */
type Candidate = {
  executor: ExecutorState;
  free: Size;
  /** Tasks that this round has placed there, by group. */
  placed: Map<TaskGroup, number>;
};

/**
 * Chooses executors for tasks that are ready to run. Lasting tasks come first
 * and filling ones last. Within these classes, jobs that can still be on time
 * come first, and those that nobody waits for any more last, as in an overload
 * not all can be served. A task goes to the executor of the lowest cost that
 * has capacity for it, which is by default the one with the least free
 * processor time.
 *
 * @example
 * ```ts
 * const placements = placeTasks(jobs.values(), options);
 * ```
 */
export function placeTasks(
  jobs: Iterable<Job>,
  options: PlaceOptions,
): Placement[] {
  const candidates: Candidate[] = options.executors
    .filter((executor) => isSchedulable(executor, options.monotonicMs))
    .map((executor) => ({
      executor,
      free: { ...executor.free },
      placed: new Map(),
    }));
  if (candidates.length === 0) return [];
  const placements: Placement[] = [];
  for (const group of rankGroups(jobs, options)) {
    placeGroup(group, { candidates, placements, options });
  }
  return placements;
}

/** Returns the groups with tasks to place, in the order of placement. */
function rankGroups(
  jobs: Iterable<Job>,
  options: PlaceOptions,
): TaskGroup[] {
  const ranked: { group: TaskGroup; rank: number[] }[] = [];
  for (const job of jobs) {
    if (job.endedAtMs !== undefined) continue;
    for (const [occurrence, groups] of occurrencesOf(job).entries()) {
      const waiting = groups.filter((group) => isWaiting(group, options));
      if (waiting.length === 0) continue;
      const rank = rankOf(job, { occurrence, groups, options });
      for (const group of waiting) {
        const lastingRank = group.step.isLasting ? 0 : 1;
        const fillingRank = group.step.isFilling ? 2 : 0;
        ranked.push({ group, rank: [lastingRank + fillingRank, ...rank] });
      }
    }
  }
  ranked.sort((left, right) => compareRanks(left.rank, right.rank));
  return ranked.map(({ group }) => group);
}

/** Order of occurrences by their lateness; lower numbers are served first. */
const LATENESS_RANK = { inTime: 0, late: 1, overdue: 1, abandoned: 2 };

/**
 * Returns the rank of an occurrence, after its class. Late ones with the least
 * work left come first, so that most callers are served while they wait: after
 * an outage or in a flood, by due time all would be served too late. As
 * estimates are rough, only the order of magnitude of the work counts.
 */
function rankOf(
  job: Job,
  { occurrence, groups, options }: {
    occurrence: number;
    groups: readonly TaskGroup[];
    options: PlaceOptions;
  },
): number[] {
  const dueAtMs = dueTimeOf(job, occurrence);
  const lateness = latenessOf(groups, {
    objectiveMs: job.objectiveMs,
    remainingMs: dueAtMs - options.unixMs,
  });
  const rank = [LATENESS_RANK[lateness], options.priorityOf(job)];
  if (lateness === "inTime" || lateness === "abandoned") {
    return [...rank, dueAtMs, job.offset];
  }
  const magnitude = Math.ceil(Math.log2(remainingWork(groups) + 1));
  const isOverdue = lateness === "overdue" ? 1 : 0;
  return [...rank, magnitude, isOverdue, dueAtMs, job.offset];
}

/** Returns whether a group has tasks that could be placed now. */
function isWaiting(group: TaskGroup, options: PlaceOptions): boolean {
  return !isGroupDone(group) && isGroupReady(group) &&
    group.tasks.some((task) => isPlaceable(task, options.monotonicMs));
}

function compareRanks(left: number[], right: number[]): number {
  for (let index = 0; index < left.length; index++) {
    if (left[index]! !== right[index]!) return left[index]! - right[index]!;
  }
  return 0;
}

/** Returns whether a task needs a run and is not blocked. */
export function isPlaceable(task: Task, monotonicMs: number): boolean {
  return !task.isDone && task.runs.length === 0 &&
    task.blockedUntilMs <= monotonicMs;
}

/** State of one call of {@linkcode placeTasks}. */
type PlacementRound = {
  candidates: Candidate[];
  placements: Placement[];
  options: PlaceOptions;
};

function placeGroup(group: TaskGroup, round: PlacementRound): void {
  const waiting = group.tasks.filter((task) =>
    isPlaceable(task, round.options.monotonicMs)
  );
  if (group.step.isGang || group.step.isSameRack) {
    placeTogether(group, { waiting, round });
    return;
  }
  for (const task of waiting) {
    const candidate = chooseCandidate(task, round.candidates, round.options);
    // All tasks of a step have the same size, so none of the others fits.
    if (candidate === undefined) return;
    assign(candidate, { task, round });
  }
}

/**
 * Places all tasks of a gang or none. If the step asks for one rack, they are
 * placed in a rack that has capacity for all of them; without such a rack, only
 * tasks of a gang wait.
 */
function placeTogether(
  group: TaskGroup,
  { waiting, round }: { waiting: Task[]; round: PlacementRound },
): void {
  if (group.step.isGang && group.tasks.some((task) => task.runs.length > 0)) {
    return;
  }
  const racks = group.step.isSameRack
    ? [...new Set(round.candidates.map(({ executor }) => rackOf(executor)))]
    : [undefined];
  for (const rack of racks) {
    const candidates = round.candidates
      .filter(({ executor }) => rack === undefined || rackOf(executor) === rack)
      .map((candidate) => ({
        ...candidate,
        free: { ...candidate.free },
        placed: new Map(candidate.placed),
        original: candidate,
      }));
    const assignments: { task: Task; candidate: Candidate }[] = [];
    for (const task of waiting) {
      const candidate = chooseCandidate(task, candidates, round.options);
      if (candidate === undefined) break;
      occupy(candidate, group);
      assignments.push({
        task,
        candidate: (candidate as typeof candidates[number]).original,
      });
    }
    if (assignments.length < waiting.length) continue;
    for (const { task, candidate } of assignments) {
      assign(candidate, { task, round });
    }
    return;
  }
  if (group.step.isGang) return;
  // Tasks that are spread over racks are slow, but still make progress.
  for (const task of waiting) {
    const candidate = chooseCandidate(task, round.candidates, round.options);
    if (candidate === undefined) return;
    assign(candidate, { task, round });
  }
}

function chooseCandidate(
  task: Task,
  candidates: readonly Candidate[],
  options: PlaceOptions,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (!fits(task, candidate, options)) continue;
    const cost = costOf(task, candidate);
    if (cost < bestCost) [best, bestCost] = [candidate, cost];
  }
  return best;
}

function fits(
  task: Task,
  candidate: Candidate,
  options: PlaceOptions,
): boolean {
  const { group } = task;
  const { step } = group;
  const { executor, free } = candidate;
  const hasCpu = step.isFilling || free.cpu >= step.size.cpu;
  if (!hasCpu || free.memoryMb < step.size.memoryMb) return false;
  if (free.accelerators < step.size.accelerators) return false;
  if (step.label !== "" && !executor.report.labels.includes(step.label)) {
    return false;
  }
  if (step.maxPerExecutor > 0) {
    let groupTasks = candidate.placed.get(group) ?? 0;
    for (const run of executor.runs) if (run.task.group === group) groupTasks++;
    if (groupTasks >= step.maxPerExecutor) return false;
  }
  return options.mayRun?.(group, executor) ?? true;
}

/** Cost of each latency-sensitive task beside a filling one, in millicores. */
const LATENCY_SENSITIVE_PENALTY_CPU = 20_000;

/** Cost of each task of the group in the same rack, in millicores. */
const RACK_SPREAD_PENALTY_CPU = 4_000;

/** Cost of an executor on which the task failed or was slow, in millicores. */
const AVOIDED_PENALTY_CPU = 100_000_000;

/** Cost of input data in another rack, in millicores. */
const REMOTE_DATA_PENALTY_CPU = 1_000_000;

/** Returns the cost of placing a task on an executor; the lowest is best. */
function costOf(task: Task, candidate: Candidate): number {
  const { step } = task.group;
  const { executor, free } = candidate;
  let cost = free.cpu;
  if (task.avoidedExecutors.has(executor.id)) cost += AVOIDED_PENALTY_CPU;
  if (step.rack !== "" && !executor.report.labels.includes(step.rack)) {
    cost += REMOTE_DATA_PENALTY_CPU;
  }
  if (step.isLasting) {
    // Lasting tasks in the same rack would fail together.
    cost += RACK_SPREAD_PENALTY_CPU * countInRack(task.group, rackOf(executor));
  }
  if (step.isFilling) {
    // Turns the cost around: filling tasks go where most is free.
    cost += -2 * free.cpu +
      LATENCY_SENSITIVE_PENALTY_CPU * countLatencySensitive(executor);
  }
  return cost;
}

function countInRack(group: TaskGroup, rack: string): number {
  let count = 0;
  for (const task of group.tasks) {
    for (const run of task.runs) if (rackOf(run.executor) === rack) count++;
  }
  return count;
}

function countLatencySensitive(executor: ExecutorState): number {
  let count = 0;
  for (const run of executor.runs) {
    if (run.task.group.step.targetMs > 0) count++;
  }
  return count;
}

/** Subtracts a task of a group from the free capacity of a candidate. */
function occupy(candidate: Candidate, group: TaskGroup): void {
  const { size, isFilling } = group.step;
  if (!isFilling) candidate.free.cpu -= size.cpu;
  candidate.free.memoryMb -= size.memoryMb;
  candidate.free.accelerators -= size.accelerators;
  candidate.placed.set(group, (candidate.placed.get(group) ?? 0) + 1);
}

function assign(
  candidate: Candidate,
  { task, round }: { task: Task; round: PlacementRound },
): void {
  const freeCpu = Math.round(candidate.free.cpu);
  occupy(candidate, task.group);
  round.placements.push({
    task,
    executor: candidate.executor,
    reason:
      `best of ${round.candidates.length} executors, with ${freeCpu} mcpu free`,
  });
}
