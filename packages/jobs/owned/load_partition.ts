import { AcceptedJob } from "../submission.ts";
import type { Store, StoredRecord } from "../ports.ts";
import {
  JOBS_TOPIC,
  parseJobKey,
  PROGRESS_TOPIC,
  USED_EXECUTORS_KEY,
} from "../topics.ts";
import { Progress } from "../ended/progress.ts";

/** Stored state of a partition. */
export type LoadedPartition = {
  jobs: { id: string; accepted: AcceptedJob; offset: number }[];
  cancelled: Set<string>;
  progress: Map<string, Progress>;
  /** Executors that earlier owners may have used. */
  usedExecutors: string[];
  /** Documents of other keys. */
  otherDocuments: Map<string, unknown>;
  /** Offset of the jobs topic to read on from. */
  nextOffset: number;
  /** Records that could not be decoded. */
  unreadableCount: number;
};

/** Outcome of {@linkcode loadPartition}. */
export type LoadOutcome =
  | { type: "loaded"; state: LoadedPartition }
  | { type: "fenced" }
  | { type: "failed"; reason: string };

/**
 * Fences the earlier owners of a partition out of the store, then reads its
 * state. Nothing that they append afterwards takes effect.
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
  const fenced = await store.append({ topic: PROGRESS_TOPIC, partition }, {
    records: [],
    writer: { name: writerName(partition), epoch, sequence: 0 },
    timeoutMs: 1_500,
  });
  if (fenced.type === "fenced") return { type: "fenced" };
  if (fenced.type !== "stored") {
    const reason = "reason" in fenced ? fenced.reason : fenced.type;
    return { type: "failed", reason };
  }
  const [jobs, progress] = await Promise.all([
    store.readNewest({ topic: JOBS_TOPIC, partition }),
    store.readNewest({ topic: PROGRESS_TOPIC, partition }),
  ]);
  if (jobs.type === "failed") return jobs;
  if (progress.type === "failed") return progress;
  const state: LoadedPartition = {
    jobs: [],
    cancelled: new Set(),
    progress: new Map(),
    usedExecutors: [],
    otherDocuments: new Map(),
    nextOffset: jobs.nextOffset,
    unreadableCount: 0,
  };
  for (const record of jobs.records) addJobRecord(state, record);
  for (const record of progress.records) addProgress(state, record);
  state.jobs.sort((left, right) => left.offset - right.offset);
  return { type: "loaded", state };
}

/** Returns the name under which the owners of a partition append. */
export function writerName(partition: number): string {
  return `owner-${partition}`;
}

/** Decodes the record of an accepted job; undefined if it is unreadable. */
export function decodeAccepted(
  value: string | undefined,
): AcceptedJob | undefined {
  const parsed = AcceptedJob.safeParse(parseJson(value));
  return parsed.success ? parsed.data : undefined;
}

function addJobRecord(state: LoadedPartition, record: StoredRecord): void {
  const { id, isCancellation } = parseJobKey(record.key);
  if (isCancellation) {
    state.cancelled.add(id);
    return;
  }
  const accepted = decodeAccepted(record.value);
  if (accepted === undefined) state.unreadableCount++;
  else state.jobs.push({ id, accepted, offset: record.offset });
}

function addProgress(state: LoadedPartition, record: StoredRecord): void {
  const document = parseJson(record.value);
  if (record.key === USED_EXECUTORS_KEY) {
    if (Array.isArray(document)) state.usedExecutors = document.map(String);
    return;
  }
  const parsed = Progress.safeParse(document);
  if (parsed.success) state.progress.set(record.key, parsed.data);
  else state.otherDocuments.set(record.key, document);
}

function parseJson(value: string | undefined): unknown {
  try {
    return JSON.parse(value ?? "null");
  } catch {
    return undefined;
  }
}
