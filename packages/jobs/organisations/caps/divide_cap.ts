/**
 * Division of an organisation's cap among the partitions whose owners start its
 * tasks. It answers the load of an organisation that asks for more in some
 * services than its cap, while it leaves room in others.
 *
 * @module
 */

import { isWithin } from "../../executor_state.ts";
import type { Size } from "../../submission.ts";
import {
  countFitting,
  isNothing,
  largerOf,
  NOTHING,
  plus,
  type Resource,
  RESOURCES,
  sizeOf,
  smallerOf,
} from "./_amounts.ts";

/** What the tasks of an organisation in one partition use and ask for. */
export type CapDemand = {
  partition: number;
  /** What may be running. */
  mayRun: Size;
  /** What waits and could start now if the cap allowed it. */
  waiting: Size;
  /**
   * Smallest amount with which something that waits can start: that of a task,
   * or of a whole gang.
   */
  unit: Size;
  /** Longest wait of such a task, in milliseconds. */
  waitedMs: number;
};

/**
 * Returns the cap, raised to the size of the task that has waited longest: one
 * above the cap may run alone, as it could never start otherwise.
 */
export function raiseToLongestWaiting(
  cap: Size,
  demands: readonly CapDemand[],
): Size {
  let longest: CapDemand | undefined;
  for (const demand of demands) {
    if (isNothing(demand.waiting)) continue;
    if (demand.waitedMs > (longest?.waitedMs ?? -1)) longest = demand;
  }
  return largerOf(cap, longest?.unit ?? NOTHING);
}

/** Time for which what is free is held for tasks that do not fit yet. */
const HOLD_MS = 2_000;

/** Number of parts in which what runs and what waits are handed out. */
const PARTS = 16;

/** Share of the cap of one partition while it is computed. */
type Share = {
  demand: CapDemand;
  amount: Size;
  /** What of the running and the waiting tasks is not covered yet. */
  runningLeft: Size;
  waitingLeft: Size;
  /** Number of units that it gets at a time. */
  unitsPerPart: number;
};

/**
 * Divides a cap by max-min fairness of the dominant share: the partition with
 * the smallest share gets the next part of what it runs or asks for, the one
 * whose tasks have waited longest first where shares are equal. What waits is
 * given in amounts with which something can start, and what is left in equal
 * parts, so that a first task finds some.
 *
 * Where such an amount does not fit beside what runs, the rest of the cap is
 * held for it for 2 s. As what runs may last, the others come first for the
 * next 2 s, and so on: neither waits for ever.
 *
 * @example
 * ```ts
 * const shares = divideCap(cap, demands);
 * ```
 */
export function divideCap(
  cap: Size,
  demands: readonly CapDemand[],
): Map<number, Size> {
  const shares = demands.map((demand): Share => ({
    demand,
    amount: NOTHING,
    runningLeft: demand.mayRun,
    waitingLeft: demand.waiting,
    unitsPerPart: countPerPart(demand, cap),
  }));
  let free = cap;
  const handOut = (takers: readonly Share[], nextOf: typeof nextUnits) => {
    const open = new Set(takers);
    while (open.size > 0) {
      const share = neediestOf(open, cap);
      const part = nextOf(share, free);
      if (part === undefined) {
        open.delete(share);
        continue;
      }
      share.amount = plus(share.amount, part);
      free = sizeOf((resource) => free[resource] - part[resource]);
    }
  };
  const beside = sizeOf((resource) => cap[resource] - sumOf(demands, resource));
  const isDeferred = ({ demand: { unit, waitedMs } }: Share) =>
    !isWithin(unit, beside) && waitedMs % (2 * HOLD_MS) >= HOLD_MS;
  const deferred = shares.filter(isDeferred);
  handOut(shares, (share, left) => {
    const running = nextRunning(share, left);
    if (running !== undefined || isDeferred(share)) return running;
    return nextUnits(share, left);
  });
  handOut(deferred, nextUnits);
  const spare = sizeOf((resource) =>
    Math.max(0, Math.min(free[resource], beside[resource]) / demands.length)
  );
  return fitBeside(shares, beside, spare);
}

/**
 * Returns the limits that follow from fair shares while all that runs goes on:
 * whoever runs more than its share starts nothing, and the others get of theirs
 * only with what something can start, so that none of them holds a part that is
 * too small for it.
 */
function fitBeside(
  shares: readonly Share[],
  beside: Size,
  spare: Size,
): Map<number, Size> {
  const limits = new Map<number, Size>();
  let free = beside;
  const longestFirst = [...shares].sort((left, right) =>
    right.demand.waitedMs - left.demand.waitedMs
  );
  for (const { demand: { partition, mayRun, unit }, amount } of longestFirst) {
    const missing = sizeOf((it) => Math.max(0, amount[it] - mayRun[it]));
    const wanted = isNothing(unit) ? 0 : countUnits(missing, unit);
    const count = Math.min(wanted, countFitting(unit, free));
    free = plus(free, unit, -count);
    const limit = count > 0
      ? plus(mayRun, unit, count)
      : smallerOf(mayRun, amount);
    limits.set(partition, plus(limit, spare));
  }
  return limits;
}

function sumOf(demands: readonly CapDemand[], resource: Resource): number {
  return demands.reduce((sum, { mayRun }) => sum + mayRun[resource], 0);
}

/** Returns the share that gets the next part. */
function neediestOf(shares: Iterable<Share>, cap: Size): Share {
  let neediest: Share | undefined;
  let least = Infinity;
  for (const share of shares) {
    const dominant = Math.max(
      ...RESOURCES.map((resource) =>
        cap[resource] > 0 ? share.amount[resource] / cap[resource] : 0
      ),
    );
    const isLongerWaiting = dominant === least &&
      share.demand.waitedMs > neediest!.demand.waitedMs;
    if (dominant < least || isLongerWaiting) {
      [neediest, least] = [share, dominant];
    }
  }
  return neediest!;
}

/** Takes the next part of what runs; undefined if it gets no more. */
function nextRunning(share: Share, free: Size): Size | undefined {
  const { demand, runningLeft } = share;
  if (isNothing(runningLeft)) return undefined;
  const wanted = sizeOf((resource) =>
    Math.min(
      Math.ceil(demand.mayRun[resource] / PARTS),
      runningLeft[resource],
    )
  );
  const part = smallerOf(wanted, free);
  share.runningLeft = isWithin(wanted, part)
    ? plus(runningLeft, part, -1)
    : NOTHING;
  return isNothing(part) ? undefined : part;
}

/** Takes the next units of what waits; undefined if it gets no more. */
function nextUnits(share: Share, free: Size): Size | undefined {
  if (isNothing(share.waitingLeft)) return undefined;
  const { unit } = share.demand;
  const left = countUnits(share.waitingLeft, unit);
  const count = Math.min(
    share.unitsPerPart,
    Math.max(1, left),
    countFitting(unit, free),
  );
  if (count < 1 || isNothing(unit)) return undefined;
  share.waitingLeft = left <= count
    ? NOTHING
    : plus(share.waitingLeft, unit, -count);
  return sizeOf((resource) => count * unit[resource]);
}

function countPerPart({ waiting, unit }: CapDemand, cap: Size): number {
  const count = Math.min(countUnits(waiting, unit), countFitting(unit, cap));
  return Math.max(1, Math.ceil(count / PARTS));
}

/** Returns the number of units that an amount is, rounded up. */
function countUnits(amount: Size, unit: Size): number {
  let count = 0;
  for (const resource of RESOURCES) {
    if (unit[resource] <= 0) continue;
    count = Math.max(count, Math.ceil(amount[resource] / unit[resource]));
  }
  return count;
}
