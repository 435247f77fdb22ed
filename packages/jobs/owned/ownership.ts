/**
 * Membership in the group of owners, to which the store assigns partitions.
 *
 * @module
 */

import { ageOf, type ClockReading, readClocks } from "../_clock_reading.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { Store } from "../ports.ts";
import { JOBS_TOPIC, OWNERS_GROUP } from "../topics.ts";
import type { Candidacy } from "./candidacy.ts";
import { fencePartition } from "./load_partition.ts";
import { IN_FLIGHT_MARGIN_MS, OWNERSHIP_GRACE_MS } from "./owner_state.ts";

/** Interval at which a member renews its membership. */
const JOIN_INTERVAL_MS = 400;

/**
 * Interval while partitions are reassigned. The store passes a partition on
 * when its previous owner joins again, and the next owner learns of it from its
 * own next join. Until then, nobody owns the partition.
 */
const REBALANCE_JOIN_INTERVAL_MS = 100;

/** Delay after a join without an answer. */
const JOIN_RETRY_MS = 200;

/** Time after a change of the generation for which this may take. */
const REBALANCE_MS = 1_500;

/** Time without a join after which the store reassigns the partitions. */
const MEMBER_TTL_MS = 1_600;

/** Longest wait for the store to tell whether a partition was taken over. */
const CHECK_TIMEOUT_MS = 500;

/**
 * Time after a gap in the membership in which an owner in between may still
 * act: it goes on without confirmation for longer than its membership lasts.
 */
const DISPUTE_MS = OWNERSHIP_GRACE_MS - MEMBER_TTL_MS + IN_FLIGHT_MARGIN_MS;

/** Time for which a member that gives way stays out of the group. */
const GIVE_WAY_MS = 5_000;

/** Gap in the membership. */
type Gap = {
  /** Last confirmation before it. */
  before: ClockReading;
  /** Monotonic time at which it was found. */
  foundAtMs: number;
};

/** Doubt whether another member has owned a partition in between. */
type Doubt = {
  /** Gaps in which an owner in between may still act, the first one first. */
  gaps: Gap[];
  /** Last confirmation before the gaps of which the store was not asked yet. */
  confirmedBefore: ClockReading | undefined;
};

/** Partition that a member owns. */
export type OwnedPartition = {
  epoch: number;
  /**
   * Stores pending changes and stops, when the partition is reassigned. This
   * has to be quick, as the next owner can only start afterwards.
   */
  release(): Promise<void>;
};

/** Membership of a process in the group of owners. */
export type Ownership = {
  /** Drops a partition whose owner was fenced by another one. */
  drop(partition: number): void;
  /**
   * Monotonic time up to which the store has confirmed that no other member
   * owns a partition of this member.
   */
  confirmedAtMs(partition: number): number;
  /**
   * Monotonic time up to which no other member can have acted as the owner of a
   * partition of this member, also not after the store has confirmed this one.
   */
  undisputedAtMs(partition: number): number;
  /** Whether this member is in the group, as of the last join. */
  isInGroup(): boolean;
  /** Gives up all partitions for a while, as this member can't serve them. */
  giveWay(): void;
  /** Gives up all partitions, so that other members take over at once. */
  leave(): Promise<void>;
};

/** Options of {@linkcode joinOwners}. */
export type JoinOwnersOptions = {
  store: Store;
  /** Returns a new name for this member, one for each time that it joins. */
  createMemberName(): string;
  events: JobEventLog;
  /** Whether any service or the machines use a partition. */
  isUsed(partition: number): boolean;
  /** Takes over a partition, under an epoch higher than all earlier ones. */
  acquire(partition: number, epoch: number): OwnedPartition;
  candidacy: Candidacy;
  /** Whether this member may own partitions; by default always. */
  mayOwn?(): boolean;
};

/**
 * Joins the group of owners and renews the membership. The store assigns the
 * partitions. The generation of the group at which a partition is assigned is
 * the epoch of its owner, in the store and at the executors.
 *
 * @example
 * ```ts
 * const ownership = joinOwners({ store, member, ...options });
 * ```
 */
export function joinOwners(options: JoinOwnersOptions): Ownership {
  const owned = new Map<number, OwnedPartition>();
  /** Generation since which a partition has been assigned to this member. */
  const assignedSince = new Map<number, number>();
  /** Partitions that another member may have owned in between. */
  const doubts = new Map<number, Doubt>();
  const { store, events, candidacy, mayOwn = () => true } = options;
  let member = options.createMemberName();
  const releases = new Set<Promise<void>>();
  let generation = 0;
  let isLeaving = false;
  let isAside = false;
  /** Monotonic time until which this member gives way to others. */
  let asideUntilMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  let hasJoinFailed = false;
  let confirmedAt: ClockReading = { monotonicMs: -Infinity, unixMs: Infinity };
  let changedAtMs = -Infinity;

  const applyAssignment = async (partitions: readonly number[]) => {
    const assigned = new Set(partitions);
    const revoked = [...assignedSince.keys()].filter((partition) =>
      !assigned.has(partition)
    );
    await Promise.all(revoked.map(async (partition) => {
      const ownedPartition = owned.get(partition);
      forget(partition);
      if (ownedPartition === undefined) return;
      events.log("partitionReleased", {
        partition,
        epoch: ownedPartition.epoch,
      });
      await release(ownedPartition);
    }));
    await checkDoubted();
    if (isLeaving) return;
    for (const partition of partitions) {
      if (!assignedSince.has(partition)) {
        assignedSince.set(partition, generation);
      }
      if (owned.has(partition) || !options.isUsed(partition)) continue;
      const epoch = assignedSince.get(partition)!;
      events.log("partitionDealt", { partition, epoch });
      owned.set(partition, options.acquire(partition, epoch));
    }
  };

  /**
   * Notes that another member may have owned the partitions that this one has
   * kept. Until the store tells, they count as confirmed before that only.
   */
  const doubtOwned = () => {
    const gap = { before: confirmedAt, foundAtMs: performance.now() };
    for (const partition of assignedSince.keys()) {
      // Nobody relies on the epoch of a partition that is not used yet.
      if (!owned.has(partition)) assignedSince.set(partition, generation);
      else {
        const { gaps = [], confirmedBefore = confirmedAt } =
          doubts.get(partition) ?? {};
        doubts.set(partition, { gaps: [...gaps, gap], confirmedBefore });
      }
    }
  };

  /**
   * Asks the store whether other owners have acted on the doubted partitions,
   * as each would have fenced this one first. If so, gives them up; they are
   * taken over again as partitions that are assigned since now. An owner that
   * is about to act may do so after the first answer, so that it takes another
   * one, of a time at which its ownership is not confirmed any more.
   */
  const checkDoubted = async () => {
    await Promise.all([...doubts].map(async ([partition, doubt]) => {
      const ownedPartition = owned.get(partition);
      if (ownedPartition === undefined) return;
      const settledMs = performance.now() - DISPUTE_MS;
      const open = doubt.gaps.filter(({ foundAtMs }) => foundAtMs > settledMs);
      const isNew = doubt.confirmedBefore !== undefined;
      if (!isNew && open.length === doubt.gaps.length) return;
      const { epoch } = ownedPartition;
      const { type } = await fencePartition(store, {
        partition,
        epoch,
        timeoutMs: CHECK_TIMEOUT_MS,
      });
      if (owned.get(partition) !== ownedPartition) return;
      if (type === "stored") {
        doubts.set(partition, { gaps: open, confirmedBefore: undefined });
        if (open.length === 0) doubts.delete(partition);
      }
      if (type !== "fenced") return;
      events.log("partitionSuperseded", { partition, epoch, generation });
      forget(partition);
      await release(ownedPartition);
    }));
  };

  /** Forgets a partition. Its next assignment counts from its own time on. */
  const forget = (partition: number) => {
    owned.delete(partition);
    assignedSince.delete(partition);
    doubts.delete(partition);
  };

  const release = (ownedPartition: OwnedPartition): Promise<void> => {
    const released = ownedPartition.release()
      .finally(() => releases.delete(released));
    releases.add(released);
    return released;
  };

  /** Gives up all partitions, also those whose release has begun already. */
  const releaseAll = async () => {
    for (const ownedPartition of owned.values()) void release(ownedPartition);
    owned.clear();
    assignedSince.clear();
    doubts.clear();
    await Promise.all(releases);
    await store.leave({ group: OWNERS_GROUP, member });
  };

  /** Leaves the group to other members, until this one is needed. */
  const standAside = async () => {
    if (isAside) return;
    isAside = true;
    events.log("ownersLeft", { generation, partitions: owned.size });
    if (generation === 0) return;
    generation = 0;
    await releaseAll();
    // A late effect of a call under the old name can't reach the next one.
    member = options.createMemberName();
  };

  const join = async () => {
    isAside = false;
    const sentAt = readClocks();
    const outcome = await store.join({
      group: OWNERS_GROUP,
      member,
      topic: JOBS_TOPIC,
      ttlMs: MEMBER_TTL_MS,
      generation,
    });
    if (isLeaving) return;
    if (outcome.type === "joined") {
      if (outcome.generation !== generation) {
        events.log("ownersChanged", {
          generation: outcome.generation,
          partitions: outcome.partitions.length,
        });
      }
      if (outcome.generation !== generation) changedAtMs = performance.now();
      // Each change of the assignment has a generation. With only one of them
      // since the last answer, a partition can't have gone and come back.
      const mayHaveMissed = outcome.generation > generation + 1;
      generation = outcome.generation;
      hasJoinFailed = false;
      if (mayHaveMissed) doubtOwned();
      confirmedAt = sentAt;
      await applyAssignment(outcome.partitions);
    } else if (!hasJoinFailed) {
      hasJoinFailed = true;
      events.log("joinFailed", { reason: outcome.reason });
    }
  };

  const renew = async () => {
    const checked = candidacy.check(generation);
    // A slow check must not delay the renewal of the membership.
    if (generation === 0) await checked;
    if (isLeaving) return;
    const mayJoin = candidacy.isCandidate() && mayOwn() &&
      performance.now() >= asideUntilMs;
    await (mayJoin ? join() : standAside());
    if (isLeaving) return;
    const isRebalancing = !isAside &&
      performance.now() - changedAtMs < REBALANCE_MS;
    const delayMs = isRebalancing
      ? REBALANCE_JOIN_INTERVAL_MS
      : hasJoinFailed
      ? JOIN_RETRY_MS
      : JOIN_INTERVAL_MS;
    timer = setTimeout(() => void renew(), delayMs);
  };
  void renew();

  return {
    confirmedAtMs(partition) {
      const doubt = doubts.get(partition);
      return performance.now() - ageOf(doubt?.confirmedBefore ?? confirmedAt);
    },
    undisputedAtMs(partition) {
      const gap = doubts.get(partition)?.gaps[0];
      return performance.now() - ageOf(gap?.before ?? confirmedAt);
    },
    // The fenced epoch can't be used again. The next join counts as a new
    // assignment at the generation of that time.
    drop: forget,
    isInGroup: () => generation > 0 && !isLeaving,
    giveWay() {
      asideUntilMs = performance.now() + GIVE_WAY_MS;
    },
    async leave() {
      isLeaving = true;
      clearTimeout(timer);
      await releaseAll();
    },
  };
}
