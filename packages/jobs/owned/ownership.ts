import type { JobEventLog } from "../job_event_log.ts";
import type { Store } from "../ports.ts";
import { JOBS_TOPIC, OWNERS_GROUP } from "../topics.ts";

/** Period in which a member keeps its place in the group. */
const JOIN_INTERVAL_MS = 400;

/**
 * Period while partitions change hands. The store gives a partition on when its
 * holder joins without it, and the next one learns of it at its own join.
 */
const BUSY_JOIN_INTERVAL_MS = 100;

/** Time after a change of the members in which partitions change hands. */
const SETTLING_MS = 1_500;

/** Silence after which the store deals a member's partitions to others. */
const MEMBER_TTL_MS = 1_600;

/** What a partition's holder does; closing must be quick. */
export type OwnedPartition = {
  epoch: number;
  /** Stores what is pending and stops, when a partition is dealt away. */
  release(): Promise<void>;
};

/** Membership of this process in the group of owners. */
export type Ownership = {
  /** Name under which others find this member. */
  member: string;
  /** Forgets a holding that another owner has fenced out. */
  drop(partition: number): void;
  /**
   * Steady time in milliseconds up to which the store has confirmed that no
   * other member holds this member's partitions.
   */
  confirmedAtMs(): number;
  /** Gives everything up, so that others take over at once. */
  leave(): Promise<void>;
};

/** Options of {@linkcode joinOwners}. */
export type JoinOwnersOptions = {
  store: Store;
  member: string;
  events: JobEventLog;
  /** Whether a partition has anything to own. */
  isUsed(partition: number): boolean;
  /** Takes a partition over at an epoch higher than any before. */
  acquire(partition: number, epoch: number): OwnedPartition;
};

/**
 * Joins the group of owners and keeps the place in it. The store deals the
 * partitions; the generation at which a partition is received is the epoch of
 * its owner, in the store and at the executors.
 *
 * @example
 * ```ts
 * const ownership = joinOwners({ store, member, ...options });
 * ```
 */
export function joinOwners(options: JoinOwnersOptions): Ownership {
  const holdings = new Map<number, OwnedPartition>();
  /** Generation at which each partition was received without a break. */
  const received = new Map<number, number>();
  const { store, member, events } = options;
  let generation = 0;
  let isLeaving = false;
  let timer: NodeJS.Timeout | undefined;
  let hasFailed = false;
  let confirmedAtMs = -Infinity;
  let changedAtMs = -Infinity;

  const apply = async (partitions: readonly number[]) => {
    const dealt = new Set(partitions);
    const lost = [...received.keys()].filter((it) => !dealt.has(it));
    await Promise.all(lost.map(async (partition) => {
      received.delete(partition);
      const holding = holdings.get(partition);
      if (holding === undefined) return;
      holdings.delete(partition);
      events.log("partitionReleased", { partition, epoch: holding.epoch });
      await holding.release();
    }));
    for (const partition of partitions) {
      if (!received.has(partition)) received.set(partition, generation);
      if (holdings.has(partition) || !options.isUsed(partition)) continue;
      const epoch = received.get(partition)!;
      events.log("partitionDealt", { partition, epoch });
      holdings.set(partition, options.acquire(partition, epoch));
    }
  };

  const join = async () => {
    const sentMs = performance.now();
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
      generation = outcome.generation;
      hasFailed = false;
      confirmedAtMs = sentMs;
      await apply(outcome.partitions);
    } else if (!hasFailed) {
      hasFailed = true;
      events.log("joinFailed", { reason: outcome.reason });
    }
    if (isLeaving) return;
    const isSettling = performance.now() - changedAtMs < SETTLING_MS;
    timer = setTimeout(
      () => void join(),
      isSettling ? BUSY_JOIN_INTERVAL_MS : JOIN_INTERVAL_MS,
    );
  };
  void join();

  return {
    member,
    confirmedAtMs: () => confirmedAtMs,
    drop(partition) {
      holdings.delete(partition);
      // A new epoch is needed; the partition is ours again at the present one.
      received.delete(partition);
    },
    async leave() {
      isLeaving = true;
      clearTimeout(timer);
      const open = [...holdings.values()];
      holdings.clear();
      await Promise.all(open.map((holding) => holding.release()));
      await store.leave({ group: OWNERS_GROUP, member });
    },
  };
}
