/**
 * Token buckets that tell which jobs an organisation sends beyond its weight,
 * which is the number of jobs a second that it may rely on. They answer a load
 * of one organisation that is several times its usual one.
 *
 * @module
 */

/** Time in seconds for which unused weight may be used later. */
const BURST_S = 2;

/** Least number of jobs that may come at once, if the weight is not 0. */
const MIN_BURST_JOBS = 3;

/**
 * Time in seconds for which a bucket that was empty fills up before it is said
 * to have room. Members hear of it with a delay, in which more jobs come.
 */
const REFILL_S = 1;

/** Longest time after which a bucket is said to have room. */
const MAX_READY_MS = 30_000;

/** Token buckets of the organisations that send jobs to a service. */
export type WeightBuckets = {
  /**
   * Takes a token for a job.
   *
   * @returns whether the job is within the weight of its organisation
   */
  take(organisation: string, arrival: Arrival): boolean;
  /**
   * Returns the milliseconds until an organisation that has sent a job beyond
   * its weight should send more; 0 if it has sent none since its bucket has
   * filled up for a while.
   */
  readyInMs(organisation: string, now: Moment): number;
};

/** Current state of an organisation. */
export type Moment = {
  /** Weight of the organisation, in jobs a second. */
  weight: number;
  /** Current Unix time of this process in milliseconds. */
  nowMs: number;
};

/** Arrival of a job. */
export type Arrival = Moment & {
  /** Unix time at which a member accepted the job, by its own clock. */
  acceptedAtMs: number;
};

type Bucket = {
  tokens: number;
  updatedAtMs: number;
  /** Whether a job has found no token since the bucket was filled up. */
  isSpent: boolean;
};

/**
 * Creates buckets, which are full at first. A job beyond the weight takes no
 * token, so that it doesn't count against the later ones.
 *
 * @example
 * ```ts
 * const buckets = createWeightBuckets();
 * const arrival = { weight: 2.5, acceptedAtMs, nowMs: Date.now() };
 * const isWithin = buckets.take("league", arrival);
 * ```
 */
export function createWeightBuckets(): WeightBuckets {
  const buckets = new Map<string, Bucket>();

  /** Returns a bucket with the tokens that it has gained until a time. */
  const refill = (
    organisation: string,
    { weight, acceptedAtMs, nowMs }: Arrival,
  ): Bucket => {
    // The clock of the member that accepted the job may be ahead.
    const atMs = Math.min(acceptedAtMs, nowMs);
    const burst = weight === 0 ? 0 : Math.max(MIN_BURST_JOBS, BURST_S * weight);
    let bucket = buckets.get(organisation);
    if (bucket === undefined) {
      bucket = { tokens: burst, updatedAtMs: atMs, isSpent: false };
      buckets.set(organisation, bucket);
    }
    // The clock of this process was set back.
    if (bucket.updatedAtMs > nowMs) bucket.updatedAtMs = atMs;
    const elapsedMs = Math.max(0, atMs - bucket.updatedAtMs);
    const gained = weight * elapsedMs / 1_000;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.updatedAtMs += elapsedMs;
    if (weight > 0 && bucket.tokens >= refillOf(weight)) bucket.isSpent = false;
    return bucket;
  };

  return {
    take(organisation, arrival) {
      const bucket = refill(organisation, arrival);
      if (bucket.tokens < 1) {
        bucket.isSpent = true;
        return false;
      }
      bucket.tokens--;
      return true;
    },
    readyInMs(organisation, { weight, nowMs }) {
      const arrival = { weight, acceptedAtMs: nowMs, nowMs };
      const { tokens, isSpent } = refill(organisation, arrival);
      if (!isSpent) return 0;
      const missingMs = (refillOf(weight) - tokens) / weight * 1_000;
      return Math.min(MAX_READY_MS, missingMs);
    },
  };
}

/** Returns the number of tokens from which on a bucket has room again. */
function refillOf(weight: number): number {
  return Math.max(1, REFILL_S * weight);
}
