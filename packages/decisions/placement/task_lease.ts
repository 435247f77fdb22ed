/**
 * Leases of tasks and the rate at which deciders renew them.
 *
 * @module
 */

/**
 * Longest lease of a task in milliseconds. A decider that takes over assumes
 * that its predecessor granted leases of this length.
 */
export const MAX_TASK_LEASE_MS = 300_000;

/** Shortest lease of a task in milliseconds. */
export const MIN_TASK_LEASE_MS = 10_000;

/**
 * Time in milliseconds from the end of its own lease for which a decider that
 * can't read the log continues to renew the leases of running tasks.
 */
export const OFFLINE_RENEWAL_MS = 3_600_000;

/** Allowance in milliseconds for the drift of clocks during a lease. */
export const TASK_LEASE_MARGIN_MS = 2_000;

/** Bytes of one call that renews a worker's leases and returns its report. */
export const REPORT_EXCHANGE_BYTES = 800;

/** Limit in bytes per second on the calls for workers' reports. */
export const REPORT_BYTES_PER_S = 4_000;

/**
 * Returns the time in milliseconds in which a decider reads the reports of all
 * its workers once. Reports get a share of the limit of 6 KB/s on a daemon's
 * control traffic.
 *
 * @example
 * ```ts
 * reportCycleMs(400); // 80_000
 * ```
 */
export function reportCycleMs(workers: number): number {
  const bytes = workers * REPORT_EXCHANGE_BYTES;
  return Math.max(1_000, 1_000 * bytes / REPORT_BYTES_PER_S);
}

/**
 * Returns the lease of a task in milliseconds: three cycles of reports, so that
 * two renewals in a row may fail without the loss of a task.
 *
 * @example
 * ```ts
 * taskLeaseMs(12); // 10_000
 * ```
 */
export function taskLeaseMs(workers: number): number {
  const wanted = 3 * reportCycleMs(workers);
  return Math.min(MAX_TASK_LEASE_MS, Math.max(MIN_TASK_LEASE_MS, wanted));
}

/** Options of {@linkcode leaseBound}. */
export type LeaseBoundOptions = {
  /** Log time of the last renewal that this decider sent, if any. */
  lastSentMs: number | undefined;
  /** Log time at which this decider's term began. */
  termSinceMs: number;
  /** Log time until which an earlier decider may renew leases; 0 if none. */
  othersRenewUntilMs: number;
  leaseMs: number;
};

/**
 * Returns the log time at which a task's lease has surely ended, whichever
 * decider renewed it last.
 *
 * @example
 * ```ts
 * const endsAtMs = leaseBound(options);
 * ```
 */
export function leaseBound(options: LeaseBoundOptions): number {
  const own = (options.lastSentMs ?? options.termSinceMs) + options.leaseMs;
  const others = options.othersRenewUntilMs + MAX_TASK_LEASE_MS;
  const end = options.othersRenewUntilMs > 0 ? Math.max(own, others) : own;
  return end + TASK_LEASE_MARGIN_MS;
}
