/**
 * Loading of the stored state of a partition by a new owner.
 *
 * @module
 */

import { parseJson } from "../_parse_json.ts";
import { AcceptedJob, Cancellation } from "../submission.ts";
import type { KeyedRecord, Store, StoredRecord } from "../ports.ts";
import {
  cancelKey,
  JOBS_TOPIC,
  parseJobKey,
  PROGRESS_TOPIC,
  USED_EXECUTORS_KEY,
} from "../topics.ts";
import { Progress } from "../ended/progress.ts";
import { joinValues } from "../ended/record_pieces.ts";

/** Decoded state of a partition. */
export type LoadedPartition = {
  /** Accepted jobs in the order of their offsets. */
  jobs: { id: string; accepted: AcceptedJob; offset: number }[];
  /** Cancellations by job id. */
  cancellations: Map<string, Cancellation[]>;
  /** Progress by job id. */
  progress: Map<string, Progress>;
  /** Executors on which earlier owners may have started tasks. */
  usedExecutors: string[];
  /** Number of pieces of the values of the progress topic that have several. */
  pieceCounts: Map<string, number>;
  /** Documents of all other keys of the progress topic. */
  otherDocuments: Map<string, unknown>;
  /** Offset from which to read later records of the jobs topic. */
  nextOffset: number;
  /** Number of job records that could not be decoded. */
  unreadableCount: number;
};

/** Longest wait for the store to set the epoch of a new owner. */
const FENCE_TIMEOUT_MS = 1_500;

/** Times that this is repeated before the state is read again. */
const MAX_FENCE_RETRIES = 2;

/** Outcome of {@linkcode loadPartition}. */
export type LoadOutcome =
  | { type: "loaded"; state: LoadedPartition }
  | { type: "fenced" }
  | { type: "failed"; reason: string };

/**
 * Fences earlier owners of a partition, so that the store refuses their further
 * appends, then reads its state and makes sure that no later owner has fenced
 * this one by then.
 *
 * @example
 * ```ts
 * const outcome = await loadPartition(store, { partition: 3, epoch: 7 });
 * ```
 */
export async function loadPartition(
  store: Store,
  { partition, epoch }: { partition: number; epoch: number },
): Promise<LoadOutcome> {
  const fence = () =>
    fencePartition(store, { partition, epoch, timeoutMs: FENCE_TIMEOUT_MS });
  const fenced = await fence();
  if (fenced.type !== "stored") return fenced;
  const [jobs, progress] = await Promise.all([
    store.readNewest({ topic: JOBS_TOPIC, partition }),
    store.readNewest({ topic: PROGRESS_TOPIC, partition }),
  ]);
  if (jobs.type === "failed") return jobs;
  if (progress.type === "failed") return progress;
  // What was read is outdated if a later owner has fenced this one meanwhile.
  let refenced = await fence();
  for (let retries = 0; retries < MAX_FENCE_RETRIES; retries++) {
    if (refenced.type === "failed") refenced = await fence();
  }
  if (refenced.type !== "stored") return refenced;
  const state: LoadedPartition = {
    jobs: [],
    cancellations: new Map(),
    progress: new Map(),
    usedExecutors: [],
    pieceCounts: new Map(),
    otherDocuments: new Map(),
    nextOffset: jobs.nextOffset,
    unreadableCount: 0,
  };
  for (const record of jobs.records) addJobRecord(state, record);
  const { values, pieceCounts } = joinValues(progress.records);
  state.pieceCounts = pieceCounts;
  for (const [key, value] of values) addProgress(state, { key, value });
  state.jobs.sort((left, right) => left.offset - right.offset);
  return { type: "loaded", state };
}

/** Outcome of {@linkcode fencePartition}. */
export type FenceOutcome =
  | { type: "stored" }
  /** An owner with a later epoch has fenced this one. */
  | { type: "fenced" }
  | { type: "failed"; reason: string };

/**
 * Sets the epoch of a partition's writer, so that the store refuses further
 * appends of earlier owners. Nothing changes if it has that epoch already.
 */
export async function fencePartition(
  store: Store,
  { partition, epoch, timeoutMs }: {
    partition: number;
    epoch: number;
    timeoutMs: number;
  },
): Promise<FenceOutcome> {
  const outcome = await store.append(
    { topic: PROGRESS_TOPIC, partition },
    {
      records: [],
      writer: { name: writerName(partition), epoch, sequence: 0 },
      timeoutMs,
    },
  );
  if (outcome.type === "stored" || outcome.type === "fenced") return outcome;
  const reason = "reason" in outcome ? outcome.reason : outcome.type;
  return { type: "failed", reason };
}

/** Returns the producer name of all owners of a partition. */
export function writerName(partition: number): string {
  return `owner-${partition}`;
}

/** Decodes the record of an accepted job; undefined if that fails. */
export function decodeAccepted(
  value: string | undefined,
): AcceptedJob | undefined {
  const parsed = AcceptedJob.safeParse(parseJson(value));
  return parsed.success ? parsed.data : undefined;
}

/** Decodes the record of a cancellation; one of no known time counts as new. */
export function decodeCancellation(value: string | undefined): Cancellation {
  const parsed = Cancellation.safeParse(parseJson(value));
  return parsed.success ? parsed.data : { cancelledAtMs: Date.now() };
}

/** Encodes the record of a cancellation. */
export function encodeCancellation(
  id: string,
  cancellation: Cancellation,
): { key: string; value: string } {
  return {
    key: cancelKey(id, cancellation.caller),
    value: JSON.stringify(cancellation),
  };
}

function addJobRecord(state: LoadedPartition, record: StoredRecord): void {
  const { id, isCancellation } = parseJobKey(record.key);
  if (isCancellation) {
    const known = state.cancellations.get(id) ?? [];
    const cancellation = decodeCancellation(record.value);
    state.cancellations.set(id, [...known, cancellation]);
    return;
  }
  const accepted = decodeAccepted(record.value);
  if (accepted === undefined) state.unreadableCount++;
  else state.jobs.push({ id, accepted, offset: record.offset });
}

function addProgress(state: LoadedPartition, record: KeyedRecord): void {
  const document = parseJson(record.value);
  if (record.key === USED_EXECUTORS_KEY) {
    if (Array.isArray(document)) state.usedExecutors = document.map(String);
    return;
  }
  const parsed = Progress.safeParse(document);
  if (parsed.success) state.progress.set(record.key, parsed.data);
  else state.otherDocuments.set(record.key, document);
}
