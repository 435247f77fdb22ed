import { isHostAvailable } from "../routing/mod.ts";
import {
  countWaiting,
  type SchedulerHost,
  type SchedulerPool,
  type SchedulerService,
} from "./scheduler_state.ts";

/** Largest share of a pool's slots that is withheld from borrowers. */
export const MAX_HEADROOM_SHARE = 0.04;

/** Time in milliseconds for which a part of a slot is withheld or lent. */
const HEADROOM_WINDOW_MS = 250;

/**
 * Time constant in milliseconds of the average of borrowed slots. Of 2, 5, 10
 * and 30 s, 10 s kept most goodput of short peaks during a flood.
 */
const BORROWED_AVERAGE_TIME_CONSTANT_MS = 10_000;

/**
 * Weight of recent use against present use in the order of borrowers. Of 1, 3,
 * 6 and 20, 6 kept most of short peaks of 3 pools during a flood without loss
 * to a desk at its peak when the flood begins.
 */
const BORROWED_AVERAGE_WEIGHT = 6;

/** Fraction whose multiples spread evenly over the unit interval. */
const GOLDEN_RATIO_CONJUGATE = 0.618_033_988_749_895;

/**
 * Returns the slots of a pool that a service is guaranteed. Guarantees that sum
 * to more than the pool are scaled down.
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

/** Counts the slots of hosts that take new work. */
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
 * Returns the slots withheld from borrowers: as many requests as the owners'
 * demand, back at its recent peak, would send before the next borrowed slot
 * becomes free. It is bounded by the owners' idle guarantee and by
 * {@linkcode MAX_HEADROOM_SHARE}, since withheld slots are wasted. A part of a
 * slot is withheld for that part of the time.
 *
 * @example
 * ```ts
 * const withheld = computeHeadroom(pool, nowMs);
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
 * Chooses the service that gets the next free slot of a pool: an owner below
 * its guarantee first, otherwise the borrower that uses and has recently used
 * least for its weight, if more than the headroom is free. The recent use lets
 * a service at a short peak borrow before one that floods for longer.
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
    /** Services that cannot use the slot for another reason. */
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
 * Tells whether one more request of a service is within its guarantee.
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
 * Brings the moving average of borrowed slots up to date. It has to be called
 * before each change of the running requests of a service.
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
 * Whether a service has borrowed more than its own guarantee for some time.
 * The headroom is withheld from such services only. Withheld from the short
 * peaks of others, it cost them more goodput than it saved returning owners.
 */
function isSustainedBorrower(service: SchedulerService): boolean {
  const home = service.pools[0];
  const guarantee = home === undefined ? 0 : computeGuarantee(home, service);
  return service.borrowedAverage > guarantee;
}

/** Slots that a service uses beyond its guarantee, over all pools. */
function countBorrowed(service: SchedulerService): number {
  const home = service.pools[0];
  if (home === undefined) return service.running;
  return service.running - Math.min(
    service.runningByPool.get(home.name) ?? 0,
    computeGuarantee(home, service),
  );
}

function minBy<T>(
  items: readonly T[],
  measure: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let least = Infinity;
  for (const item of items) {
    const value = measure(item);
    if (value < least) {
      best = item;
      least = value;
    }
  }
  return best;
}
