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
   * Number of groups that fit on no executor and are returned all the same, to
   * be reserved room: those in time that are due first.
   */
  blockedCount?: number;
};

/**
 * Returns the groups with tasks to place, in the order of placement. Groups
 * whose tasks fit on no executor are left out, which are most of them while a
 * service is overloaded.
 */
export function rankGroups(
  jobs: Iterable<Job>,
  options: RankOptions,
): TaskGroup[] {
  const { largestFree, blockedCount = 0 } = options;
  const ranked: RankedGroup[] = [];
  const blocked: BlockedGroup[] = [];
  for (const job of jobs) {
    if (job.endedAtMs !== undefined) continue;
    for (const [occurrence, groups] of groupsByOccurrence(job)) {
      const fitting = groups.filter((group) =>
        isWithin(occupiedBy(group), largestFree)
      );
      const waiting = fitting.filter((group) => isWaiting(group, options));
      addRanked(ranked, { occurrence, groups: waiting }, options);
      if (blockedCount === 0 || fitting.length === groups.length) continue;
      const dueAtMs = dueTimeOf(job, occurrence);
      if (dueAtMs < options.unixMs) continue;
      if (dueAtMs >= (blocked[blockedCount - 1]?.dueAtMs ?? Infinity)) continue;
      const others = groups.filter((group) =>
        !fitting.includes(group) && isWaiting(group, options)
      );
      if (others.length === 0) continue;
      blocked.push({ occurrence, groups: others, dueAtMs });
      blocked.sort((left, right) => left.dueAtMs - right.dueAtMs);
      blocked.length = Math.min(blocked.length, blockedCount);
    }
  }
  for (const group of blocked) addRanked(ranked, group, options);
  ranked.sort((left, right) => compareRanks(left.rank, right.rank));
  return ranked.map(({ group }) => group);
}

type RankedGroup = { group: TaskGroup; rank: number[] };

/** Groups of one occurrence of a job. */
type OccurrenceGroups = { occurrence: number; groups: TaskGroup[] };

/** Groups of one occurrence that fit on no executor. */
type BlockedGroup = OccurrenceGroups & { dueAtMs: number };

function addRanked(
  ranked: RankedGroup[],
  { occurrence, groups }: OccurrenceGroups,
  options: RankOptions,
): void {
  const [first] = groups;
  if (first === undefined) return;
  const rank = rankOf(first.job, occurrence, options);
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

/** Returns whether a group has tasks that wait for room only. */
function isWaiting(
  group: TaskGroup,
  options: RankOptions,
): boolean {
  return !isGroupDone(group) && isGroupReady(group) &&
    group.tasks.some((task) => isPlaceable(task, options));
}

function compareRanks(left: number[], right: number[]): number {
  for (let index = 0; index < left.length; index++) {
    if (left[index]! !== right[index]!) return left[index]! - right[index]!;
  }
  return 0;
}
