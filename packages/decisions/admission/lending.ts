/**
 * Guarantees of services in pools, and lending of idle slots to other services.
 *
 * @module
 */

import { isHostAvailable } from "../routing/mod.ts";
import {
  countWaiting,
  type SchedulerHost,
  type SchedulerPool,
  type SchedulerService,
} from "./scheduler_state.ts";

/** Largest share of a pool's slots that is reserved as headroom. */
export const MAX_HEADROOM_SHARE = 0.04;

/**
 * Period in milliseconds for which a fraction of a slot is rounded up or down,
 * so that it is reserved for that fraction of the time.
 */
const HEADROOM_WINDOW_MS = 250;

/**
 * Time constant in milliseconds of the moving average of borrowed slots. Among
 * 2, 5, 10 and 30 s, 10 s kept the most goodput of short peaks during a flood.
 */
const BORROWED_AVERAGE_TIME_CONSTANT_MS = 10_000;

/**
 * Weight of recently borrowed slots against those borrowed now in the order of
 * borrowers. Among 1, 3, 6 and 20, 6 kept the most goodput of short peaks of 3
 * pools during a flood, at no loss for a desk that is at its peak when the
 * flood begins.
 */
const BORROWED_AVERAGE_WEIGHT = 6;

/** Fraction whose multiples modulo 1 spread evenly over the unit interval. */
const GOLDEN_RATIO_CONJUGATE = 0.618_033_988_749_895;

/**
 * Returns the number of slots of a pool that a service is guaranteed, which may
 * be fractional; 0 outside its home pool. Guarantees that sum to more than the
 * pool are scaled down.
 *
 * @example
 * ```ts
 * const slots = computeGuarantee(pool, service);
 * ```
 */
export function computeGuarantee(
  pool: SchedulerPool,
  service: SchedulerService,
): number {
  if (service.spec.pool !== pool.name) return 0;
  let percent = 0;
  for (const owner of pool.owners) percent += owner.spec.sharePercent;
  const share = service.spec.sharePercent / Math.max(100, percent);
  return share * countUsableSlots(pool);
}

/** Counts the owned slots of hosts that are neither leaving nor ejected. */
function countUsableSlots(pool: SchedulerPool): number {
  let count = 0;
  for (const host of pool.hosts) {
    if (!host.isLeaving && host.health.state === "in-use") {
      count += host.owned.size;
    }
  }
  return count;
}

/**
 * Returns the hosts of a pool that can start a request now.
 *
 * @example
 * ```ts
 * const hosts = findAvailableHosts(pool, nowMs);
 * ```
 */
export function findAvailableHosts(
  pool: SchedulerPool,
  nowMs: number,
): SchedulerHost[] {
  return pool.hosts.filter((host) =>
    host.free.length > 0 && !host.isLeaving &&
    isHostAvailable(host.health, nowMs)
  );
}

/**
 * Returns the number of free slots that are reserved for the pool's owners. It
 * covers the requests that the owners would send, at their recent peak rate,
 * before the next borrowed slot becomes free. It is at most the unused part of
 * their guarantees and {@linkcode MAX_HEADROOM_SHARE} of the pool, since
 * reserved slots stay idle. A fraction of a slot is reserved for that fraction
 * of the time.
 *
 * @example
 * ```ts
 * const reserved = computeHeadroom(pool, nowMs);
 * ```
 */
export function computeHeadroom(pool: SchedulerPool, nowMs: number): number {
  let idle = 0;
  let demandPerMs = 0;
  let borrowed = 0;
  for (const user of pool.users) {
    const running = user.runningByPool.get(pool.name) ?? 0;
    const guarantee = computeGuarantee(pool, user);
    borrowed += Math.max(0, running - guarantee);
    if (guarantee <= running) continue;
    idle += guarantee - running;
    demandPerMs += user.arrivals.peakPerMs;
  }
  const untilFreeMs = pool.borrowedRunMs / Math.max(1, borrowed);
  const slots = Math.min(
    idle,
    demandPerMs * untilFreeMs,
    MAX_HEADROOM_SHARE * countUsableSlots(pool),
  );
  const window = Math.floor(nowMs / HEADROOM_WINDOW_MS);
  const phase = (window * GOLDEN_RATIO_CONJUGATE) % 1;
  return Math.floor(slots) + (phase < slots % 1 ? 1 : 0);
}

/**
 * Chooses the service that gets the next free slot of a pool. An owner below
 * its guarantee goes first. Otherwise the slot goes to the borrower with the
 * fewest borrowed slots, now and recently, in relation to its share; services
 * that have borrowed for long get it only if more than the headroom is free.
 * Counting recent use lets a service with a short peak borrow before one that
 * floods for longer.
 *
 * @example
 * ```ts
 * const service = chooseService(pool, { freeSlots: 3, nowMs });
 * ```
 */
export function chooseService(
  pool: SchedulerPool,
  options: {
    freeSlots: number;
    nowMs: number;
    /** Services whose waiting requests cannot use any free slot. */
    skipped: ReadonlySet<SchedulerService>;
  },
): SchedulerService | undefined {
  const waiting = pool.users.filter((user) =>
    !options.skipped.has(user) && countWaiting(user) > 0
  );
  if (waiting.length === 0) return undefined;
  const owners = waiting.filter((user) => isBelowGuarantee(pool, user));
  const owner = minBy(
    owners,
    (user) => (user.runningByPool.get(pool.name) ?? 0) / user.spec.sharePercent,
  );
  if (owner !== undefined) return owner;
  for (const user of waiting) updateBorrowedAverage(user, options.nowMs);
  const exceedsHeadroom =
    options.freeSlots > computeHeadroom(pool, options.nowMs);
  const borrowers = exceedsHeadroom
    ? waiting
    : waiting.filter((user) => !isSustainedBorrower(user));
  return minBy(borrowers, (user) => {
    const used = countBorrowed(user) +
      BORROWED_AVERAGE_WEIGHT * user.borrowedAverage;
    return used / user.spec.sharePercent;
  });
}

/**
 * Returns whether a service runs fewer requests in a pool than its guarantee.
 *
 * @example
 * ```ts
 * const isOwner = isBelowGuarantee(pool, service);
 * ```
 */
export function isBelowGuarantee(
  pool: SchedulerPool,
  service: SchedulerService,
): boolean {
  const running = service.runningByPool.get(pool.name) ?? 0;
  return running < computeGuarantee(pool, service);
}

/**
 * Updates the moving average of a service's borrowed slots. Call it before each
 * change of the number of its running requests.
 *
 * @example
 * ```ts
 * updateBorrowedAverage(service, nowMs);
 * ```
 */
export function updateBorrowedAverage(
  service: SchedulerService,
  nowMs: number,
): void {
  const elapsedMs = nowMs - service.borrowedUpdatedAtMs;
  service.borrowedUpdatedAtMs = nowMs;
  const weight = 1 - Math.exp(-elapsedMs / BORROWED_AVERAGE_TIME_CONSTANT_MS);
  service.borrowedAverage += weight *
    (countBorrowed(service) - service.borrowedAverage);
}

/**
 * Returns whether a service has borrowed more than its own guarantee for some
 * time. Only such services leave the headroom free: reserving it against short
 * peaks too cost those more goodput than it gained for returning owners.
 */
function isSustainedBorrower(service: SchedulerService): boolean {
  const home = service.pools[0];
  const guarantee = home === undefined ? 0 : computeGuarantee(home, service);
  return service.borrowedAverage > guarantee;
}

/** Counts the slots of all pools that a service uses beyond its guarantee. */
function countBorrowed(service: SchedulerService): number {
  const home = service.pools[0];
  if (home === undefined) return service.running;
  return service.running - Math.min(
    service.runningByPool.get(home.name) ?? 0,
    computeGuarantee(home, service),
  );
}

/** Returns the first item with the least measure. */
function minBy<T>(
  items: readonly T[],
  measure: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let minValue = Infinity;
  for (const item of items) {
    const value = measure(item);
    if (value < minValue) {
      best = item;
      minValue = value;
    }
  }
  return best;
}
