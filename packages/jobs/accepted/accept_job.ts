import { sleep } from "../_sleep.ts";
import type { Queue } from "../fleet.ts";
import { type Layout, partitionOf } from "../owned/layout.ts";
import type { Store } from "../ports.ts";
import type { AcceptedJob, Submission } from "../submission.ts";
import { cancelKey, JOBS_TOPIC } from "../topics.ts";

/** Outcome of an acceptance or a cancellation. */
export type RecordOutcome =
  | { type: "stored" }
  /** Provably not stored; the caller may come back after the time. */
  | { type: "refused"; retryAfterMs: number; reason: string }
  /** Possibly stored, so that nothing may be promised either way. */
  | { type: "unknown"; reason: string };

/** Time to come back after a refusal that does not say one. */
const DEFAULT_RETRY_MS = 500;

/** Longest wait for the store before an append is repeated. */
const DIRECT_TIMEOUT_MS = 700;

/** Shortest wait for the store that is worth a call. */
const MIN_TIMEOUT_MS = 100;

/** Pause before an append without an answer is repeated. */
const REPEAT_PAUSE_MS = 100;

/** Options of {@linkcode acceptJob} and {@linkcode cancelJob}. */
export type RecordOptions = {
  store: Store;
  layout: Layout;
  queue: Queue;
  /** Longest wait for the store in milliseconds. */
  timeoutMs: number;
  /** Whether the store does not answer this member. */
  isStoreAway(): boolean;
  /** Stores a record through other members; undefined if none was reached. */
  relay(
    record: KeyedValue & { partition: number },
    endMs: number,
  ): Promise<RecordOutcome | undefined>;
};

/** Record of a job. */
export type KeyedValue = { key: string; value: string };

/**
 * Stores an accepted job. Any member may do so, and more than once: the record
 * of an id is always the same, and its owner takes it once.
 *
 * @example
 * ```ts
 * const outcome = await acceptJob(id, submission, { store, layout, ...rest });
 * ```
 */
export async function acceptJob(
  id: string,
  submission: Submission,
  options: RecordOptions,
): Promise<RecordOutcome> {
  const { queue } = options;
  const accepted: AcceptedJob = {
    queue: queue.name,
    service: queue.service,
    acceptedAtMs: Date.now(),
    submission,
  };
  return await store(id, { key: id, value: JSON.stringify(accepted) }, options);
}

/** Stores the cancellation of a job. */
export async function cancelJob(
  id: string,
  options: RecordOptions,
): Promise<RecordOutcome> {
  const value = JSON.stringify({ cancelledAtMs: Date.now() });
  return await store(id, { key: cancelKey(id), value }, options);
}

async function store(
  id: string,
  record: KeyedValue,
  options: RecordOptions,
): Promise<RecordOutcome> {
  const partition = partitionOf(options.layout, {
    service: options.queue.service,
    key: id,
  });
  if (partition === undefined) {
    return {
      type: "refused",
      retryAfterMs: DEFAULT_RETRY_MS,
      reason: `service ${options.queue.service} has no partition yet`,
    };
  }
  const endMs = performance.now() + options.timeoutMs;
  const direct = await appendUntil(partition, record, { ...options, endMs });
  if (direct?.type === "stored") return direct;
  const relayed = await options.relay({ partition, ...record }, endMs);
  if (relayed?.type === "stored") return relayed;
  // One attempt that may be stored leaves the outcome open.
  const attempts = [direct, relayed].filter((it) => it !== undefined);
  return attempts.find(({ type }) => type === "unknown") ?? attempts[0] ?? {
    type: "refused",
    retryAfterMs: DEFAULT_RETRY_MS,
    reason: "the store is silent and no other member was reached",
  };
}

/**
 * Appends a record, and once more while it is not known whether it is stored.
 *
 * @returns undefined if the store is away and nothing was sent
 */
async function appendUntil(
  partition: number,
  record: KeyedValue,
  { store, isStoreAway, endMs }: {
    store: Store;
    isStoreAway(): boolean;
    endMs: number;
  },
): Promise<RecordOutcome | undefined> {
  let outcome: RecordOutcome | undefined;
  while (!isStoreAway()) {
    const leftMs = endMs - performance.now();
    if (leftMs < MIN_TIMEOUT_MS) break;
    const next = await append(partition, record, {
      store,
      timeoutMs: Math.min(DIRECT_TIMEOUT_MS, leftMs),
    });
    if (next.type === "stored") return next;
    // A refused repeat says nothing of the attempt before it.
    outcome = outcome?.type === "unknown" ? outcome : next;
    if (next.type === "refused") break;
    await sleep(REPEAT_PAUSE_MS);
  }
  return outcome;
}

/** Appends the record of a job once, without a relay. */
export async function append(
  partition: number,
  record: KeyedValue,
  options: { store: Store; timeoutMs: number },
): Promise<RecordOutcome> {
  const outcome = await options.store.append(
    { topic: JOBS_TOPIC, partition },
    { records: [record], timeoutMs: options.timeoutMs },
  );
  switch (outcome.type) {
    case "stored":
    case "refused":
    case "unknown":
      return outcome;
    default:
      // Records without a writer or a condition get no other answer.
      return { type: "unknown", reason: outcome.type };
  }
}
