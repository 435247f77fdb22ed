/**
 * Order in which waiting tasks are placed.
 *
 * @module
 */

import { addSize, noCapacity } from "../_sizes.ts";
import { type ExecutorState, isWithin, occupiedBy } from "../executor_state.ts";
import {
  dueTimeOf,
  isPlaceable,
  type Job,
  type PlacementTimes,
  type TaskGroup,
} from "../job.ts";
import {
  groupsByOccurrence,
  isGroupDone,
  isGroupReady,
} from "../occurrences.ts";
import {
  orderByShares,
  type WaitingWork,
} from "../organisations/shares/order_by_shares.ts";
import type { Shares } from "../organisations/shares/shares.ts";
import type { Size } from "../submission.ts";
import {
  type Lateness,
  latenessOf,
  remainingStepsOf,
  remainingWork,
} from "./due_time.ts";

/** Options of {@linkcode rankGroups}. */
export type RankOptions = PlacementTimes & {
  /** Current Unix time in milliseconds. */
  unixMs: number;
  /** Priority of a job's queue; lower numbers are served first. */
  priorityOf(job: Job): number;
  /** Most of each resource that any executor has free. */
  largestFree: Size;
  /** Weights of organisations; undefined if there are none. */
  shares?: Shares | undefined;
  /** Executors of the service, among which the organisations share. */
  executors: readonly ExecutorState[];
  /**
   * Whether room may be reserved for a group that fits on no executor now.
   * Those of a few occurrences, which are in time and due first, are returned
   * as well. None are if it is undefined.
   */
  isReservable?: ((group: TaskGroup) => boolean) | undefined;
};

/** Most occurrences whose groups are returned although they do not fit. */
const MAX_BLOCKED_OCCURRENCES = 4;

/** Group with its rank, of which earlier numbers decide before later ones. */
type RankedGroup = WaitingWork & { group: TaskGroup; rank: number[] };

/**
 * Returns the groups with tasks to place, in the order of placement. Groups
 * whose tasks fit on no executor are left out, which are most of them while a
 * service is overloaded.
 */
export function rankGroups(
  jobs: Iterable<Job>,
  options: RankOptions,
): TaskGroup[] {
  const { shares, executors } = options;
  const shortTasks = shares && sumShortTasks(executors);
  const ranked: RankedGroup[] = [];
  const blocked: BlockedGroups[] = [];
  const add = (groups: OccurrenceGroups) =>
    addRanked(ranked, groups, { options, shortTasks });
  for (const job of jobs) {
    if (job.endedAtMs !== undefined) continue;
    for (const [occurrence, groups] of groupsByOccurrence(job)) {
      const waiting = groups.filter((group) => isWaiting(group, options));
      if (waiting.length > 0) add({ occurrence, groups: waiting });
      if (options.isReservable === undefined) continue;
      noteBlocked(blocked, { occurrence, groups }, options);
    }
  }
  for (const groups of blocked) add(groups);
  ranked.sort((left, right) => compareRanks(left.rank, right.rank));
  const ordered = shares === undefined || shortTasks === undefined
    ? ranked
    : inOrderOfShares(ranked, { shares, ...shortTasks });
  return ordered.map(({ group }) => group);
}

/** Class of tasks that end by themselves and that their callers wait for. */
const SHORT_CLASS = 1;

/** Returns the class of a group; lower numbers are served first. */
function classOf({ step }: TaskGroup): number {
  const lastingRank = step.isLasting ? 0 : SHORT_CLASS;
  const fillingRank = step.isFilling ? 2 : 0;
  return lastingRank + fillingRank;
}

/**
 * Length of the first part of a rank, which decides before the shares of
 * organisations do: class, standing and priority.
 */
const PEER_RANK_LENGTH = 3;

/**
 * Orders groups by the shares of their organisations. Only short tasks compete
 * by shares, for what the lasting ones leave: these come first, and would use
 * up the shares of those who have many of them.
 */
function inOrderOfShares(
  ranked: readonly RankedGroup[],
  { shares, held, capacity }: ShortTasks & { shares: Shares },
): readonly RankedGroup[] {
  const isShort = ({ rank }: RankedGroup) => rank[0] === SHORT_CLASS;
  const first = ranked.findIndex(isShort);
  if (first < 0) return ranked;
  const end = ranked.findLastIndex(isShort) + 1;
  const ordered = orderByShares(ranked.slice(first, end), {
    shares,
    held,
    capacity,
    isPeer: (left, right) => haveSameStart(left.rank, right.rank),
  });
  return [...ranked.slice(0, first), ...ordered, ...ranked.slice(end)];
}

/** Sums over the short tasks that run on the executors of a service. */
type ShortTasks = {
  /** Capacity that lasting and filling tasks leave. */
  capacity: Size;
  /** Part of it that the short tasks of each organisation hold. */
  held: Map<string | undefined, Size>;
  /** Numbers of their runs by group. */
  runCounts: Map<TaskGroup, number>;
};

function sumShortTasks(executors: readonly ExecutorState[]): ShortTasks {
  const capacity = noCapacity();
  const held = new Map<string | undefined, Size>();
  const runCounts = new Map<TaskGroup, number>();
  for (const { report, runs } of executors) {
    addSize(capacity, report.capacity);
    for (const { task: { group } } of runs) {
      if (classOf(group) !== SHORT_CLASS) {
        addSize(capacity, occupiedBy(group), -1);
        continue;
      }
      runCounts.set(group, (runCounts.get(group) ?? 0) + 1);
      const { organisation } = group.job.accepted;
      const size = held.get(organisation) ?? noCapacity();
      addSize(size, group.step.size);
      held.set(organisation, size);
    }
  }
  return { capacity, held, runCounts };
}

function haveSameStart(left: number[], right: number[]): boolean {
  for (let index = 0; index < PEER_RANK_LENGTH; index++) {
    if (left[index] !== right[index]) return false;
  }
  return true;
}

/** Groups of one occurrence of a job. */
type OccurrenceGroups = {
  occurrence: number;
  groups: readonly TaskGroup[];
};

/** Groups of one occurrence that fit on no executor. */
type BlockedGroups = OccurrenceGroups & { dueAtMs: number };

/** Adds the groups that fit on no executor if they are due early enough. */
function noteBlocked(
  blocked: BlockedGroups[],
  { occurrence, groups }: OccurrenceGroups,
  options: RankOptions,
): void {
  const { largestFree, unixMs, isReservable } = options;
  if (isReservable === undefined) return;
  const latestMs = blocked[MAX_BLOCKED_OCCURRENCES - 1]?.dueAtMs ?? Infinity;
  const waiting: TaskGroup[] = [];
  let dueAtMs = Infinity;
  for (const group of groups) {
    if (isWithin(occupiedBy(group), largestFree)) continue;
    dueAtMs = dueTimeOf(group.job, occurrence);
    if (dueAtMs < unixMs || dueAtMs >= latestMs) return;
    if (!isReservable(group) || !hasWaitingTasks(group, options)) continue;
    waiting.push(group);
  }
  if (waiting.length === 0) return;
  blocked.push({ occurrence, groups: waiting, dueAtMs });
  blocked.sort((left, right) => left.dueAtMs - right.dueAtMs);
  blocked.length = Math.min(blocked.length, MAX_BLOCKED_OCCURRENCES);
}

function addRanked(
  ranked: RankedGroup[],
  { occurrence, groups }: OccurrenceGroups,
  { options, shortTasks }: {
    options: RankOptions;
    shortTasks: ShortTasks | undefined;
  },
): void {
  const { job } = groups[0]!;
  const rank = rankOf(job, occurrence, options);
  for (const group of groups) {
    ranked.push({
      group,
      rank: [classOf(group), ...rank],
      organisation: job.accepted.organisation,
      size: group.step.size,
      count: group.tasks.length - group.doneCount -
        (shortTasks?.runCounts.get(group) ?? 0),
    });
  }
}

/** Order of occurrences by their lateness; lower numbers are served first. */
const LATENESS_RANK = { inTime: 0, late: 1, overdue: 1, abandoned: 4 };

/** Added to this if the job is beyond the weight of its organisation. */
const BEYOND_WEIGHT_RANK = { inTime: 2, late: 2, overdue: 2, abandoned: 1 };

/**
 * Returns the standing of an occurrence; lower numbers are served first. Jobs
 * beyond the weight of their organisation come after all others that somebody
 * waits for, also where those are late already.
 */
function standingOf({ isBeyondWeight }: Job, lateness: Lateness): number {
  const penalty = isBeyondWeight ? BEYOND_WEIGHT_RANK[lateness] : 0;
  return LATENESS_RANK[lateness] + penalty;
}

/**
 * Returns the rank of an occurrence, after its class. Of those in time, the
 * ones that have begun come first: in a flood, by due time alone more would
 * begin than can be finished in time, and the work on the others would be in
 * vain. Late ones with the least work left come first, so that most callers are
 * served while they wait: after an outage or in a flood, by due time all would
 * be served too late. As estimates are rough, only the order of magnitude of
 * the work counts.
 */
function rankOf(
  job: Job,
  occurrence: number,
  options: RankOptions,
): number[] {
  const steps = remainingStepsOf(job, occurrence);
  const dueAtMs = dueTimeOf(job, occurrence);
  const isBegun = hasBegun(job, occurrence);
  const lateness = latenessOf(steps, {
    objectiveMs: job.objectiveMs,
    remainingMs: dueAtMs - options.unixMs,
    hasBegun: isBegun,
  });
  const rank = [standingOf(job, lateness), options.priorityOf(job)];
  if (lateness === "abandoned") return [...rank, dueAtMs, job.offset];
  if (lateness === "inTime") {
    return [...rank, isBegun ? 0 : 1, dueAtMs, job.offset];
  }
  const magnitude = Math.ceil(Math.log2(remainingWork(steps) + 1));
  const isOverdue = lateness === "overdue" ? 1 : 0;
  return [...rank, magnitude, isOverdue, dueAtMs, job.offset];
}

/** Returns whether a task of an occurrence runs or is done. */
function hasBegun(job: Job, occurrence: number): boolean {
  // Most jobs that wait in a flood have not started at all.
  if (!job.isPlaced && !job.isInherited) return false;
  return job.groups.some((group) =>
    group.occurrence === occurrence &&
    (group.doneCount > 0 || group.tasks.some(({ runs }) => runs.length > 0))
  );
}

/** Returns whether a group has tasks that could be placed now. */
function isWaiting(
  group: TaskGroup,
  options: RankOptions,
): boolean {
  return !isGroupDone(group) &&
    isWithin(occupiedBy(group), options.largestFree) &&
    hasWaitingTasks(group, options);
}

/** Returns whether a group has tasks that wait for nothing but room. */
function hasWaitingTasks(group: TaskGroup, options: RankOptions): boolean {
  return !isGroupDone(group) && isGroupReady(group) &&
    group.tasks.some((task) => isPlaceable(task, options));
}

function compareRanks(left: number[], right: number[]): number {
  for (let index = 0; index < left.length; index++) {
    if (left[index]! !== right[index]!) return left[index]! - right[index]!;
  }
  return 0;
}
