/**
 * Longest lease of a task in milliseconds; a decider that takes over assumes
 * that its predecessor gave leases of this length.
 */
export const MAX_TASK_LEASE_MS = 300_000;

/** Shortest lease of a task in milliseconds. */
export const MIN_TASK_LEASE_MS = 10_000;

/**
 * Time in milliseconds for which a decider that lost the log goes on to renew
 * the leases of running tasks, from the end of its own lease.
 */
export const OFFLINE_RENEWAL_MS = 3_600_000;

/** Difference in milliseconds by which clocks may drift during a lease. */
export const TASK_LEASE_MARGIN_MS = 2_000;

/** Bytes of one exchange that renews a worker's leases and reads its report. */
export const REPORT_EXCHANGE_BYTES = 800;

/** Bytes per second that a decider spends on its workers' reports. */
export const REPORT_BYTES_PER_S = 4_000;

/**
 * Returns the time in milliseconds in which a decider reads the reports of all
 * its workers once within its share of the limit of 6 KB/s.
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
 * Returns the lease of a task: three cycles of reports, so that two exchanges
 * may fail in a row without the loss of a task.
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
  /** Log time until which an earlier decider may have renewed leases. */
  othersRenewUntilMs: number;
  leaseMs: number;
};

/**
 * Returns the log time at which a task's lease has surely ended, whoever
 * renewed it last.
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
