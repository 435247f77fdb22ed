/** Options of {@linkcode requiredBuffer}. */
export type RequiredBufferOptions = {
  /** Hosts that share the buffer, over all pools. */
  hosts: number;
  /** Failures per host and day. */
  failuresPerHostDay: number;
  /** Time from a failure to the return or replacement in hours. */
  repairH: number;
  /** Accepted share of time with more failed hosts than spare ones. */
  maxShortfallShare?: number;
};

/** Size of the buffer with its reason. */
export type RequiredBuffer = { hosts: number; reason: string };

/** Accepted share of time in which the buffer is too small. */
export const DEFAULT_MAX_SHORTFALL_SHARE = 0.005;

/**
 * Returns the smallest number of spare hosts that covers the failed ones except
 * for a small share of time. The pools share the buffer: one number for all
 * hosts is far smaller than the sum of one number per pool.
 *
 * @example
 * ```ts
 * requiredBuffer({ hosts: 35, failuresPerHostDay: 0.018, repairH: 2 }).hosts;
 * ```
 */
export function requiredBuffer(options: RequiredBufferOptions): RequiredBuffer {
  const { hosts, failuresPerHostDay, repairH } = options;
  const shortShare = options.maxShortfallShare ?? DEFAULT_MAX_SHORTFALL_SHARE;
  const failed = Math.min(1, failuresPerHostDay * repairH / 24);
  let share = Math.pow(1 - failed, hosts);
  let covered = share;
  let spare = 0;
  while (1 - covered > shortShare && spare < hosts) {
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
        100 * shortShare
      }% is accepted.`,
  };
}
