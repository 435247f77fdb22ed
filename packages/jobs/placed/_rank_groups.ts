/**
 * Order in which waiting tasks are placed.
 *
 * @module
 */

import { isWithin, occupiedBy } from "../executor_state.ts";
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
import type { Size } from "../submission.ts";
import { latenessOf, remainingStepsOf, remainingWork } from "./due_time.ts";

/** Options of {@linkcode rankGroups}. */
export type RankOptions = PlacementTimes & {
  /** Current Unix time in milliseconds. */
  unixMs: number;
  /** Priority of a job's queue; lower numbers are served first. */
  priorityOf(job: Job): number;
  /** Most of each resource that any executor has free. */
  largestFree: Size;
  /**
   * Whether room may be reserved for a group that fits on no executor now.
   * Those of a few occurrences, which are in time and due first, are returned
   * as well. None are if it is undefined.
   */
  isReservable?: ((group: TaskGroup) => boolean) | undefined;
};

/** Most occurrences whose groups are returned although they do not fit. */
const MAX_BLOCKED_OCCURRENCES = 4;

/**
 * Returns the groups with tasks to place, in the order of placement. Groups
 * whose tasks fit on no executor are left out, which are most of them while a
 * service is overloaded.
 */
export function rankGroups(
  jobs: Iterable<Job>,
  options: RankOptions,
): TaskGroup[] {
  const ranked: RankedGroup[] = [];
  const blocked: BlockedGroups[] = [];
  for (const job of jobs) {
    if (job.endedAtMs !== undefined) continue;
    for (const [occurrence, groups] of groupsByOccurrence(job)) {
      const waiting = groups.filter((group) => isWaiting(group, options));
      if (waiting.length > 0) {
        addRanked(ranked, { occurrence, groups: waiting }, options);
      }
      if (options.isReservable === undefined) continue;
      noteBlocked(blocked, { occurrence, groups }, options);
    }
  }
  for (const groups of blocked) addRanked(ranked, groups, options);
  ranked.sort((left, right) => compareRanks(left.rank, right.rank));
  return ranked.map(({ group }) => group);
}

type RankedGroup = { group: TaskGroup; rank: number[] };

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
  options: RankOptions,
): void {
  const rank = rankOf(groups[0]!.job, occurrence, options);
  for (const group of groups) {
    const lastingRank = group.step.isLasting ? 0 : 1;
    const fillingRank = group.step.isFilling ? 2 : 0;
    ranked.push({ group, rank: [lastingRank + fillingRank, ...rank] });
  }
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
  occurrence: number,
  options: RankOptions,
): number[] {
  const steps = remainingStepsOf(job, occurrence);
  const dueAtMs = dueTimeOf(job, occurrence);
  const lateness = latenessOf(steps, {
    objectiveMs: job.objectiveMs,
    remainingMs: dueAtMs - options.unixMs,
  });
  const rank = [LATENESS_RANK[lateness], options.priorityOf(job)];
  if (lateness === "inTime" || lateness === "abandoned") {
    return [...rank, dueAtMs, job.offset];
  }
  const magnitude = Math.ceil(Math.log2(remainingWork(steps) + 1));
  const isOverdue = lateness === "overdue" ? 1 : 0;
  return [...rank, magnitude, isOverdue, dueAtMs, job.offset];
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
