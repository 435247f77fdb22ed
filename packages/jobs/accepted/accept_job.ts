/**
 * Stores accepted jobs and cancellations in the jobs topic.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { Queue } from "../fleet.ts";
import { type Layout, partitionOf } from "../owned/layout.ts";
import { encodeCancellation } from "../owned/load_partition.ts";
import type { Store } from "../ports.ts";
import {
  type AcceptedJob,
  type Caller,
  type Cancellation,
  QueuePolicy,
  type Submission,
} from "../submission.ts";
import { JOBS_TOPIC } from "../topics.ts";

/** Outcome of storing an accepted job or a cancellation. */
export type RecordOutcome =
  /** Partition and offset tell where in the log the record stands, if known. */
  | { type: "stored"; partition?: number; offset?: number | undefined }
  /** Certainly not stored; the caller may retry after `retryAfterMs`. */
  | { type: "refused"; retryAfterMs: number; reason: string }
  /** Certainly not stored, nor if the caller retries. */
  | { type: "rejected"; reason: string }
  /** The record may be stored, or may still be stored later. */
  | { type: "unknown"; reason: string };

/** Retry delay for a refusal that does not come from the store. */
const DEFAULT_RETRY_AFTER_MS = 500;

/** Longest wait for the store's answer to one append. */
const APPEND_TIMEOUT_MS = 700;

/** Remaining time below which no further append is tried. */
const MIN_APPEND_TIMEOUT_MS = 100;

/** Delay before an append with an unknown outcome is retried. */
const RETRY_DELAY_MS = 100;

/**
 * Most tasks of a submission, or of each of its occurrences. Its owner holds
 * all of them in memory, and stores what has failed in one append.
 */
export const MAX_TASKS = 20_000;

/** Options of {@linkcode acceptJob}. */
export type AcceptOptions = RecordOptions & {
  queue: Queue;
  /**
   * Service in whose partition the ids of the queue are kept; by default the
   * present one of the queue.
   */
  home?: string;
  /** Organisation of the caller; undefined if its calls need no key. */
  organisation?: string | undefined;
};

/** Options of {@linkcode cancelJob}. */
export type CancelOptions = RecordOptions & {
  /** All services under which the job may have been accepted. */
  services: readonly string[];
  /** Who cancels the job. */
  caller?: Caller;
};

/** Options of storing a record of a job. */
export type RecordOptions = {
  store: Store;
  layout: Layout;
  /** Time limit for all attempts together, in milliseconds. */
  timeoutMs: number;
  /** Whether an append to a partition of the jobs is worth a try. */
  mayAppend(partition: number): boolean;
  /**
   * Stores a record through other members until the monotonic time
   * `deadlineMs`. Returns undefined if no member was called.
   */
  relay(
    record: JobRecord & { partition: number },
    deadlineMs: number,
  ): Promise<RecordOutcome | undefined>;
};

/** Record of the jobs topic, without its partition. */
export type JobRecord = { key: string; value: string };

/**
 * Stores an accepted job. Any member may do so, also repeatedly: all records of
 * an id describe the same job, and the partition's owner applies only the
 * first. A job that no owner could hold is rejected.
 *
 * @example
 * ```ts
 * const outcome = await acceptJob(id, submission, { store, layout, ...rest });
 * ```
 */
export async function acceptJob(
  id: string,
  submission: Submission,
  options: AcceptOptions,
): Promise<RecordOutcome> {
  const { queue, organisation, home = queue.service } = options;
  const tasks = submission.steps.reduce((sum, { count }) => sum + count, 0);
  if (tasks > MAX_TASKS) {
    const reason = `${tasks} tasks are more than ${MAX_TASKS}`;
    return { type: "rejected", reason };
  }
  // Its owner could not hand it on before.
  if (!options.layout.has(queue.service)) return refuseUnplaced(queue.service);
  const accepted: AcceptedJob = {
    queue: queue.name,
    policy: QueuePolicy.parse(queue),
    service: queue.service,
    ...(organisation === undefined ? {} : { organisation }),
    acceptedAtMs: Date.now(),
    submission,
  };
  return await storeRecord(
    id,
    { key: id, value: JSON.stringify(accepted) },
    { ...options, service: home },
  );
}

/**
 * Stores a request to cancel a job in the partitions of all services under
 * which it may have been accepted. Its owner applies it, and the other owners
 * forget it after a while.
 */
export async function cancelJob(
  id: string,
  options: CancelOptions,
): Promise<RecordOutcome> {
  const { caller = {} } = options;
  const cancellation: Cancellation = {
    cancelledAtMs: Date.now(),
    ...(Object.keys(caller).length === 0 ? {} : { caller }),
  };
  const record = encodeCancellation(id, cancellation);
  const outcomes = await Promise.all(
    options.services.map((service) =>
      storeRecord(id, record, { ...options, service })
    ),
  );
  const failed = outcomes.filter((outcome) => outcome.type !== "stored");
  const [failure] = failed;
  if (failure === undefined) return outcomes[0]!;
  const isPartlyStored = failed.length < outcomes.length ||
    failed.some(({ type }) => type === "unknown");
  return isPartlyStored ? { type: "unknown", reason: failure.reason } : failure;
}

function refuseUnplaced(service: string): RecordOutcome {
  return {
    type: "refused",
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    reason: `service ${service} has no partition yet`,
  };
}

async function storeRecord(
  id: string,
  record: JobRecord,
  options: RecordOptions & { service: string },
): Promise<RecordOutcome> {
  const { layout, service } = options;
  const partition = partitionOf(layout, { service, key: id });
  if (partition === undefined) return refuseUnplaced(service);
  const deadlineMs = performance.now() + options.timeoutMs;
  const direct = await appendWithRetries(partition, record, {
    ...options,
    deadlineMs,
  });
  if (direct?.type === "stored") return { ...direct, partition };
  if (direct?.type === "rejected") return direct;
  const relayed = await options.relay({ partition, ...record }, deadlineMs);
  if (relayed?.type === "stored") return { ...relayed, partition };
  // If either attempt may have stored the record, the outcome is unknown.
  const outcomes = [direct, relayed].filter((it) => it !== undefined);
  return outcomes.find(({ type }) => type === "unknown") ?? outcomes[0] ?? {
    type: "refused",
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    reason: "the store is unreachable, also through other members",
  };
}

/**
 * Appends a record and retries while the outcome is unknown, the store is
 * reachable and there is time left.
 *
 * @returns undefined if nothing was sent to the store
 */
async function appendWithRetries(
  partition: number,
  record: JobRecord,
  { store, mayAppend, deadlineMs }: {
    store: Store;
    mayAppend(partition: number): boolean;
    deadlineMs: number;
  },
): Promise<RecordOutcome | undefined> {
  let outcome: RecordOutcome | undefined;
  while (mayAppend(partition)) {
    const leftMs = deadlineMs - performance.now();
    if (leftMs < MIN_APPEND_TIMEOUT_MS) break;
    const attempt = await appendOnce(partition, record, {
      store,
      timeoutMs: Math.min(APPEND_TIMEOUT_MS, leftMs),
    });
    if (attempt.type === "stored") return attempt;
    // A refused retry does not rule out that an earlier attempt was stored.
    outcome = outcome?.type === "unknown" ? outcome : attempt;
    if (attempt.type !== "unknown") break;
    await sleep(RETRY_DELAY_MS);
  }
  return outcome;
}

/** Appends a record directly to the store, without retries. */
export async function appendOnce(
  partition: number,
  record: JobRecord,
  options: { store: Store; timeoutMs: number },
): Promise<RecordOutcome> {
  const outcome = await options.store.append(
    { topic: JOBS_TOPIC, partition },
    { records: [record], timeoutMs: options.timeoutMs },
  );
  switch (outcome.type) {
    case "stored":
    case "refused":
    case "rejected":
    case "unknown":
      return outcome;
    default:
      // The other outcomes need a writer or an expected end; there is neither.
      return { type: "unknown", reason: outcome.type };
  }
}
