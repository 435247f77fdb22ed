/**
 * Order of waiting work by the shares of organisations, for a service whose
 * capacity does not suffice for all that waits.
 *
 * @module
 */

import { addSize, noCapacity } from "../../_sizes.ts";
import type { Size } from "../../submission.ts";
import { divideShares, type Shares } from "./shares.ts";

/** Work that waits for capacity. */
export type WaitingWork = {
  organisation: string | undefined;
  /** Capacity of one unit of the work. */
  size: Size;
  /** Number of its units that wait. */
  count: number;
};

/** Options of {@linkcode orderByShares}. */
export type ShareOptions<Work> = {
  shares: Shares;
  /** Capacity for which the organisations compete. */
  capacity: Size;
  /** Part of it that each organisation holds. */
  held: ReadonlyMap<string | undefined, Size>;
  /**
   * Whether two works are of equal standing, so that their organisations decide
   * which comes first.
   */
  isPeer(left: Work, right: Work): boolean;
};

/** What an organisation uses of its share. */
type Use = {
  size: Size;
  /** Share of the capacity, between 0 and 1. */
  share: number;
  level: number;
};

/**
 * Orders works that are sorted already. Among peers, those come first whose
 * organisation uses the least of its share, counting what is ahead of them as
 * used; those with about the same use stay in the given order. So capacity that
 * an organisation doesn't use goes to the others, and the first work of one
 * that holds nothing is ahead of the others, whatever its size.
 *
 * An organisation uses its share of capacity by the resource of which it holds
 * the largest part (dominant resource fairness).
 */
export function orderByShares<Work extends WaitingWork>(
  works: readonly Work[],
  options: ShareOptions<Work>,
): Work[] {
  const { capacity, isPeer } = options;
  const uses = createUses(works, options);
  if (uses.size < 2) return [...works];
  const levels: Work[][] = Array.from({ length: LAST_LEVEL + 1 }, () => []);
  const ordered: Work[] = [];
  let previous: Work | undefined;
  for (const work of works) {
    if (previous !== undefined && !isPeer(previous, work)) {
      moveAll(levels, ordered);
    }
    previous = work;
    const use = uses.get(work.organisation)!;
    levels[use.level]!.push(work);
    addSize(use.size, work.size, work.count);
    use.level = levelOf(dominantPart(use.size, capacity) / use.share);
  }
  moveAll(levels, ordered);
  return ordered;
}

/** Moves the works of all levels to the end of a list, level by level. */
function moveAll<Work>(levels: Work[][], ordered: Work[]): void {
  for (const level of levels) {
    for (const work of level) ordered.push(work);
    level.length = 0;
  }
}

/** Returns the use of each organisation that holds capacity or waits for it. */
function createUses<Work extends WaitingWork>(
  works: readonly Work[],
  { held, shares, capacity }: ShareOptions<Work>,
): Map<string | undefined, Use> {
  const organisations = new Set(held.keys());
  for (const work of works) organisations.add(work.organisation);
  const uses = new Map<string | undefined, Use>();
  for (const [organisation, share] of divideShares(organisations, shares)) {
    const size = { ...(held.get(organisation) ?? noCapacity()) };
    const level = levelOf(dominantPart(size, capacity) / share);
    uses.set(organisation, { size, share, level });
  }
  return uses;
}

/**
 * Levels by which the use of a share is distinguished. Within a level, jobs are
 * served by their due times as far as possible.
 */
const LEVELS_PER_SHARE = 4;

/** Number of shares from which on more use makes no difference. */
const MAX_SHARES = 4;

/** Level of a work whose organisation uses more than this. */
const LAST_LEVEL = 1 + LEVELS_PER_SHARE * MAX_SHARES;

/** Returns the level of a use; lower levels are served first. */
function levelOf(usedShares: number): number {
  // An organisation of weight 0 has no share, so that nothing is 0 / 0 of it.
  if (!(usedShares < MAX_SHARES)) return LAST_LEVEL;
  if (usedShares === 0) return 0;
  return 1 + Math.floor(LEVELS_PER_SHARE * usedShares);
}

/** Returns the largest part of any resource that a size takes of a capacity. */
export function dominantPart(size: Size, capacity: Size): number {
  return Math.max(
    partOf(size.cpu, capacity.cpu),
    partOf(size.memoryMb, capacity.memoryMb),
    partOf(size.accelerators, capacity.accelerators),
  );
}

function partOf(amount: number, total: number): number {
  if (amount <= 0) return 0;
  return total > 0 ? amount / total : Infinity;
}
