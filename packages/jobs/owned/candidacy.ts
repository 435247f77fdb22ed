/**
 * Decides whether a member takes part in the assignment of partitions.
 *
 * @module
 */

import type { MemberCapacity, NamedMember } from "./member_name.ts";

/** Shortest time between two checks. */
const CHECK_INTERVAL_MS = 1_000;

/** Time after a change of the group in which members may not own any yet. */
const SETTLE_MS = 1_500;

/** Time for which stronger members must have been seen to stand aside. */
const STAND_ASIDE_DELAY_MS = 1_500;

/**
 * Time for which too few stronger members must have been seen to join them. A
 * planned restart of a member takes less.
 */
const REPLACE_DELAY_MS = 5_000;

/** Stronger members that are needed, so that one of them may be lost. */
const MIN_STRONGER_MEMBERS = 2;

/** Factor of the processor time from which a member is clearly stronger. */
const STRONGER_CPU_FACTOR = 2;

/** Options of {@linkcode createCandidacy}. */
export type CandidacyOptions = {
  capacity: MemberCapacity;
  /** Returns the number of partitions that have work. */
  usedPartitionCount(): number;
  /**
   * Reads the members that own partitions; undefined if the store does not
   * answer.
   */
  readMembers(): Promise<readonly NamedMember[] | undefined>;
};

/** Part of a member in the assignment of partitions. */
export type Candidacy = {
  /** Whether the member should own partitions, as of the last check. */
  isCandidate(): boolean;
  /**
   * Checks this again after a change of the group, and while stronger members
   * are there. Does nothing if the last check was a moment ago.
   */
  check(generation: number): Promise<void>;
};

/**
 * Returns whether the stronger members of the group can carry its partitions
 * better than with this member among them. The store assigns partitions evenly,
 * so that a small machine would get the same share as a large one.
 *
 * @example
 * ```ts
 * hasStrongerMembers(capacity, { members, usedPartitions: 6 });
 * ```
 */
export function hasStrongerMembers(
  own: MemberCapacity,
  { members, usedPartitions }: {
    members: readonly NamedMember[];
    usedPartitions: number;
  },
): boolean {
  const stronger = capacitiesOfStronger(own, members);
  if (stronger.length < MIN_STRONGER_MEMBERS) return false;
  const cpu = stronger.reduce((sum, capacity) => sum + capacity.cpu, 0);
  return cpu >= usedPartitions * own.cpu;
}

function capacitiesOfStronger(
  own: MemberCapacity,
  members: readonly NamedMember[],
): MemberCapacity[] {
  return members.flatMap(({ capacity }) =>
    capacity !== undefined && isClearlyStronger(capacity, own) ? [capacity] : []
  );
}

function isClearlyStronger(
  other: MemberCapacity,
  own: MemberCapacity,
): boolean {
  return other.cpu >= STRONGER_CPU_FACTOR * own.cpu &&
    other.linkMbps >= own.linkMbps;
}

/**
 * Creates the candidacy of a member. It joins at once if no stronger member is
 * there, and after a while if those that are left can't carry the partitions.
 * It stands aside only if enough of them have been there for a while. So the
 * partitions don't change hands with each restart. A stronger member that comes
 * back may get no partition from a group that is larger than their number, so
 * that the others would not see it and keep them.
 *
 * @example
 * ```ts
 * const candidacy = createCandidacy({ capacity, ...options });
 * ```
 */
export function createCandidacy(options: CandidacyOptions): Candidacy {
  let isCandidate = true;
  let checkedAtMs = -Infinity;
  /** Time of the last list of members that was read. */
  let readAtMs = -Infinity;
  let lastGeneration: number | undefined;
  let changedAtMs = -Infinity;
  /** Time since which enough stronger members have been seen. */
  let strongerSinceMs: number | undefined;
  /** Time since which too few stronger members have been seen. */
  let tooFewSinceMs: number | undefined;

  const applyMembers = (members: readonly NamedMember[]) => {
    const nowMs = performance.now();
    const isFirst = readAtMs === -Infinity;
    readAtMs = nowMs;
    const isStronger = hasStrongerMembers(options.capacity, {
      members,
      usedPartitions: options.usedPartitionCount(),
    });
    if (isStronger) {
      tooFewSinceMs = undefined;
      strongerSinceMs ??= nowMs;
      const hasLasted = nowMs - strongerSinceMs >= STAND_ASIDE_DELAY_MS;
      if (isFirst || hasLasted) isCandidate = false;
      return;
    }
    strongerSinceMs = undefined;
    tooFewSinceMs ??= nowMs;
    const isNoneLeft =
      capacitiesOfStronger(options.capacity, members).length === 0;
    const hasLasted = nowMs - tooFewSinceMs >= REPLACE_DELAY_MS;
    if (isFirst) isCandidate = false;
    if (isNoneLeft || hasLasted) isCandidate = true;
  };

  return {
    isCandidate: () => isCandidate,
    async check(generation) {
      const nowMs = performance.now();
      if (generation !== lastGeneration) changedAtMs = nowMs;
      lastGeneration = generation;
      const isSettled = isCandidate && strongerSinceMs === undefined &&
        readAtMs >= changedAtMs + SETTLE_MS;
      if (isSettled || nowMs - checkedAtMs < CHECK_INTERVAL_MS) return;
      checkedAtMs = nowMs;
      const members = await options.readMembers();
      if (members !== undefined) applyMembers(members);
    },
  };
}
