import { isHostOpen } from "../routing/mod.ts";
import {
  countWaiting,
  type SchedulerHost,
  type SchedulerPool,
  type SchedulerService,
  type SchedulerState,
} from "./scheduler_state.ts";

/** Largest share of a pool's slots that is withheld from borrowers. */
export const MAX_HEADROOM_SHARE = 0.03;

/** Time in milliseconds for which a part of a slot is withheld or lent. */
const HEADROOM_WINDOW_MS = 250;

/** Fraction whose multiples spread evenly over the unit interval. */
const GOLDEN_FRACTION = 0.618_033_988_749_895;

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
 * const hosts = findOpenHosts(pool, nowMs);
 * ```
 */
export function findOpenHosts(
  pool: SchedulerPool,
  nowMs: number,
): SchedulerHost[] {
  return pool.hosts.filter((host) =>
    host.free.length > 0 && !host.isLeaving && isHostOpen(host.health, nowMs)
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
  const phase = (window * GOLDEN_FRACTION) % 1;
  return Math.floor(slots) + (phase < slots % 1 ? 1 : 0);
}

/**
 * Chooses the service that gets the next free slot of a pool: an owner below
 * its guarantee first, otherwise the borrower that uses least for its weight,
 * if more than the headroom is free.
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
  const owner = findLeast(
    owners,
    (user) => (user.runningByPool.get(pool.name) ?? 0) / user.spec.sharePercent,
  );
  if (owner !== undefined) return owner;
  if (options.freeSlots <= computeHeadroom(pool, options.nowMs)) {
    return undefined;
  }
  return findLeast(
    waiting,
    (user) => countBorrowed(user) / user.spec.sharePercent,
  );
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

/** Slots that a service uses beyond its guarantee, over all pools. */
function countBorrowed(service: SchedulerService): number {
  const home = service.pools[0];
  if (home === undefined) return service.running;
  return service.running - Math.min(
    service.runningByPool.get(home.name) ?? 0,
    computeGuarantee(home, service),
  );
}

function findLeast<T>(
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

/**
 * Returns the slots per pool that a forwarded request of any service could use
 * now, for the heartbeats to other entry hosts.
 *
 * @example
 * ```ts
 * const free = countLendableSlots(state, nowMs);
 * ```
 */
export function countLendableSlots(
  state: SchedulerState,
  nowMs: number,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const pool of state.pools.values()) {
    let free = 0;
    for (const host of findOpenHosts(pool, nowMs)) {
      // An ejected host takes only its probe.
      free += host.health.state === "in-use" ? host.free.length : 0;
    }
    const lendable = free - computeHeadroom(pool, nowMs);
    counts.set(pool.name, Math.max(0, lendable));
  }
  return counts;
}
