/**
 * What the owners of partitions may use of an organisation's cap, as the broker
 * of the caps knows it, and what they are to be told next.
 *
 * @module
 */

import { isWithin } from "../../executor_state.ts";
import type { Size } from "../../submission.ts";
import {
  isNothing,
  largerOf,
  NOTHING,
  plus,
  RESOURCES,
  sizeOf,
} from "./_amounts.ts";
import {
  type CapDemand,
  divideCap,
  raiseToLongestWaiting,
} from "./divide_cap.ts";

/** Answer of a partition's owner about one organisation. */
export type CapUse = Omit<CapDemand, "partition"> & {
  /** Limit to which its owner keeps until it is told another one. */
  limit: Size;
};

/** Owner of a partition, as the ledger knows it. */
type Entry = {
  use: CapUse;
  /** Highest limit that the owner may have been told. */
  granted: Size;
};

/** Ledger of one organisation's cap. */
export type CapLedger = {
  /**
   * Notes the answer of a partition's owner, which obeys no earlier message any
   * more, neither of this broker nor of an earlier one.
   */
  hear(partition: number, use: CapUse): void;
  /**
   * Returns the limits to send to owners that were heard. From then on they
   * count as granted. A limit that is higher than the one before counts until
   * its owner answers, one that is lower from its answer on.
   */
  plan(options: {
    cap: Size;
    /** Highest cap of which earlier limits may be parts. */
    highestCap: Size;
    /** Partitions whose owners may start tasks of the organisation. */
    partitions: ReadonlySet<number>;
    /** Whether an owner can be told a limit now. */
    isReachable(partition: number): boolean;
  }): Map<number, Size>;
  /** Returns what may run at the owners that were heard. */
  mayRun(): Size;
};

/**
 * Creates the ledger of a new broker, which knows no limits of its
 * predecessor. Whatever the owners that it has not heard may use counts as
 * used: all of the cap that those it has heard were not granted.
 *
 * @example
 * ```ts
 * const ledger = createCapLedger();
 * ledger.hear(3, use);
 * const limits = ledger.plan({ cap, highestCap, partitions, isReachable });
 * ```
 */
export function createCapLedger(): CapLedger {
  const entries = new Map<number, Entry>();
  /** Sum of the limits that owners had when they were first heard. */
  let inherited = NOTHING;
  /** Whether all owners were heard that an earlier broker may have granted. */
  let isComplete = false;

  /** Returns what of the cap the owners that were heard may use together. */
  const availableOf = (
    cap: Size,
    { highestCap, partitions, demands }: {
      highestCap: Size;
      partitions: ReadonlySet<number>;
      demands: readonly CapDemand[];
    },
  ): Size => {
    isComplete ||= partitions.size > 0 &&
      [...partitions].every((it) => entries.has(it));
    if (isComplete) return raiseToLongestWaiting(cap, demands);
    return sizeOf((resource) => {
      if (cap[resource] === Infinity) return Infinity;
      const reserved = highestCap[resource] - inherited[resource];
      return Math.max(0, cap[resource] - Math.max(0, reserved));
    });
  };

  return {
    hear(partition, use) {
      const isFirst = !entries.has(partition);
      if (isFirst) inherited = plus(inherited, use.limit);
      entries.set(partition, { use, granted: use.limit });
    },
    plan({ cap, highestCap, partitions, isReachable }) {
      const demands = [...entries].map(([partition, { use }]) => ({
        ...use,
        partition,
      }));
      const available = availableOf(cap, {
        highestCap,
        partitions,
        demands,
      });
      const committed = sumOf([...entries.values()].map(committedTo));
      const isOver = !isWithin(committed, available);
      const needsMore = [...entries.values()].some((entry) =>
        isShort(entry, cap) || isWithoutLimit(entry, cap)
      );
      if (!isOver && !needsMore) return new Map();
      const targets = divideCap(available, demands);
      const free = sizeOf((it) =>
        available[it] === Infinity ? Infinity : available[it] - committed[it]
      );
      const limits = new Map<number, Size>();
      // Those that lack something come first.
      const ordered = [...entries].sort(([, left], [, right]) =>
        Number(isShort(right, cap)) - Number(isShort(left, cap))
      );
      for (const [partition, entry] of ordered) {
        if (!isReachable(partition)) continue;
        const limit = limitFor(entry, targets.get(partition)!, free);
        if (isSame(limit, entry.granted)) continue;
        for (const resource of RESOURCES) {
          const before = committedTo(entry)[resource];
          const after = Math.max(before, limit[resource]);
          if (after < Infinity) free[resource] -= after - before;
        }
        limits.set(partition, limit);
        entry.granted = largerOf(entry.granted, limit);
      }
      return limits;
    },
    mayRun: () => sumOf([...entries.values()].map(({ use }) => use.mayRun)),
  };
}

/** Returns what an owner's tasks may use before it confirms a lower limit. */
function committedTo({ use, granted }: Entry): Size {
  return largerOf(granted, use.mayRun);
}

/**
 * Returns the next limit of an owner, raised as far as the cap is free. `free`
 * is negative where more may run than the cap. Some of that may turn out not to
 * run, so that it is no reason to raise a limit up to it.
 */
function limitFor(entry: Entry, target: Size, free: Size): Size {
  const committed = committedTo(entry);
  return sizeOf((resource) => {
    // Owners need no limit for a resource without a cap.
    if (target[resource] === Infinity) return entry.granted[resource];
    const highest = committed[resource] + free[resource];
    const limit = Math.max(entry.granted[resource], highest);
    return Math.floor(Math.min(target[resource], limit));
  });
}

/** Returns whether something waits that the limit has no room for. */
function isShort({ use, granted }: Entry, cap: Size): boolean {
  const needed = plus(use.mayRun, use.unit);
  return !isNothing(use.waiting) &&
    RESOURCES.some((it) => cap[it] < Infinity && needed[it] > granted[it]);
}

/** Returns whether a first task would find nothing of a resource. */
function isWithoutLimit({ granted }: Entry, cap: Size): boolean {
  return RESOURCES.some((it) => cap[it] < Infinity && granted[it] <= 0);
}

function sumOf(sizes: readonly Size[]): Size {
  return sizes.reduce((sum, size) => plus(sum, size), NOTHING);
}

function isSame(left: Size, right: Size): boolean {
  return RESOURCES.every((resource) => left[resource] === right[resource]);
}
