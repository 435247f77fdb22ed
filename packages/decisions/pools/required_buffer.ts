/**
 * Computes the number of spare hosts that a fleet needs.
 *
 * @module
 */

/** Options of {@linkcode requiredBuffer}. */
export type RequiredBufferOptions = {
  /** Number of hosts that share the spare ones, over all pools. */
  hosts: number;
  /** Failures per host and day. */
  failuresPerHostDay: number;
  /** Time in hours from a failure to the return or replacement of the host. */
  repairH: number;
  /**
   * Accepted share of time with more failed hosts than spare ones;
   * {@linkcode DEFAULT_MAX_SHORTFALL_SHARE} by default.
   */
  maxShortfallShare?: number;
};

/** Number of spare hosts, and how it was computed. */
export type RequiredBuffer = { hosts: number; reason: string };

/** Default share of time in which more hosts may be failed than are spare. */
export const DEFAULT_MAX_SHORTFALL_SHARE = 0.005;

/**
 * Returns the smallest number of spare hosts that covers the failed ones except
 * for a small share of time. All pools share them, since the number for all
 * hosts is far smaller than the sum of the numbers per pool.
 *
 * @example
 * ```ts
 * requiredBuffer({ hosts: 35, failuresPerHostDay: 0.018, repairH: 2 }).hosts;
 * ```
 */
export function requiredBuffer(options: RequiredBufferOptions): RequiredBuffer {
  const { hosts, failuresPerHostDay, repairH } = options;
  const maxShortfallShare = options.maxShortfallShare ??
    DEFAULT_MAX_SHORTFALL_SHARE;
  const failed = Math.min(1, failuresPerHostDay * repairH / 24);
  let share = Math.pow(1 - failed, hosts);
  let covered = share;
  let spare = 0;
  while (1 - covered > maxShortfallShare && spare < hosts) {
    // Ratio of two successive terms of the binomial distribution.
    share *= (hosts - spare) / (spare + 1) * failed / (1 - failed);
    spare++;
    covered += share;
  }
  const percent = Number((100 * Math.max(0, 1 - covered)).toPrecision(2));
  return {
    hosts: spare,
    reason:
      `${spare} spare hosts for ${hosts} hosts that fail ${failuresPerHostDay} times a day and are out for ${repairH} h: more are failed in ${percent}% of the time, and ${
        100 * maxShortfallShare
      }% is accepted.`,
  };
}
