/**
 * States of jobs as the store tells them, for the time in which the owner of
 * their partition does not answer.
 *
 * @module
 */

import { z } from "zod";
import { parseJson } from "../_parse_json.ts";
import { shareCalls } from "../_share_calls.ts";
import { Progress } from "../ended/progress.ts";
import { mayAccess } from "../organisations/keys/job_access.ts";
import { type Layout, partitionOf } from "../owned/layout.ts";
import type { Store, StoredRecord, TopicPartition } from "../ports.ts";
import { AcceptedJob, type Caller, type JobState } from "../submission.ts";
import { JOBS_TOPIC, parseJobKey, PROGRESS_TOPIC } from "../topics.ts";

/** Time without a query after which the records of a partition are dropped. */
const MAX_IDLE_MS = 30_000;

/** Most reads that one query takes to get to the end of a partition. */
const MAX_READS = 20;

/** Schema of what is needed of the record of an accepted job. */
const StoredJob = AcceptedJob.pick({
  queue: true,
  organisation: true,
  service: true,
});

/** Schema of what is needed of a job's progress. */
const StoredProgress = z.union([
  // Only the progress of a job at work is long enough for pieces.
  z.object({ pieces: z.number() }).transform(() => ({ hasStarted: true })),
  Progress.transform(({ outcome, service, isForwarded, ...progress }) => ({
    outcome,
    service,
    isForwarded,
    hasStarted: hasStarted(progress),
  })),
]);

/** Returns whether any task has started. Earlier versions store only ends. */
function hasStarted(
  { hasStarted, done, failed }: Pick<
    Progress,
    "hasStarted" | "done" | "failed"
  >,
): boolean {
  return hasStarted === true || Object.keys(done).length > 0 ||
    Object.keys(failed).length > 0;
}

/** State of a job as it is stored, or the partition that runs the job. */
export type StoredState =
  | { type: "known"; value: JobState }
  | { type: "elsewhere"; partition: number };

/** States of jobs as the store tells them. */
export type StoredStates = {
  /**
   * Returns the state of a job, from records that are read after this call.
   * Starts and ends are only those that an owner has stored.
   *
   * @returns undefined if the store does not answer, or has no job of that id
   * for the caller; that does not mean that there is none
   */
  find(
    partition: number,
    query: { job: string; caller: Caller },
  ): Promise<StoredState | undefined>;
};

/**
 * Creates access to the stored states of jobs. A partition is read as a whole
 * with the first query, and from there on with each further one.
 *
 * @example
 * ```ts
 * const states = createStoredStates({ store, layout });
 * const state = await states.find(3, { job: id, caller: {} });
 * ```
 */
export function createStoredStates(
  { store, layout }: { store: Store; layout(): Layout },
): StoredStates {
  const partitions = new Map<number, StoredPartition>();

  const open = (partition: number): StoredPartition => {
    let stored = partitions.get(partition);
    if (stored === undefined) {
      stored = createStoredPartition(store, partition);
      partitions.set(partition, stored);
    }
    return stored;
  };

  const dropLater = (partition: number, stored: StoredPartition) => {
    clearTimeout(stored.dropTimer);
    stored.dropTimer = setTimeout(
      () => partitions.delete(partition),
      MAX_IDLE_MS,
    ).unref();
  };

  return {
    async find(partition, { job: id, caller }) {
      const stored = open(partition);
      const isCurrent = await stored.refresh();
      dropLater(partition, stored);
      const job = stored.jobs.get(id);
      if (!isCurrent || job === undefined || !mayAccess(job, caller)) {
        return undefined;
      }
      const progress = stored.progress.get(id);
      const service = progress?.service ?? job.service;
      const runsIn = partitionOf(layout(), { service, key: id });
      if (progress?.isForwarded === true) {
        if (runsIn === undefined) return undefined;
        return { type: "elsewhere", partition: runsIn };
      }
      // It may have been handed on by now, and be in any state there.
      const isHandedOn = progress?.service !== undefined &&
        runsIn !== partition;
      if (isHandedOn) return undefined;
      return { type: "known", value: stateOf(progress) };
    },
  };
}

type StoredJob = z.infer<typeof StoredJob>;
/** What is needed of a job's progress. */
type StoredProgress = {
  outcome?: Progress["outcome"];
  service?: string | undefined;
  isForwarded?: boolean | undefined;
  hasStarted: boolean;
};

function stateOf(progress: StoredProgress | undefined): JobState {
  if (progress?.outcome !== undefined) return progress.outcome;
  return progress?.hasStarted === true ? "running" : "queued";
}

/** Jobs of a partition and their progress, by job id. */
type StoredPartition = {
  jobs: Map<string, StoredJob>;
  progress: Map<string, StoredProgress>;
  /**
   * Reads what has been stored before this call.
   *
   * @returns whether the store answered
   */
  refresh(): Promise<boolean>;
  dropTimer: NodeJS.Timeout | undefined;
};

function createStoredPartition(
  store: Store,
  partition: number,
): StoredPartition {
  const jobs = new Map<string, StoredJob>();
  const progress = new Map<string, StoredProgress>();
  const readJobs = createReader(store, { topic: JOBS_TOPIC, partition }, {
    reset: () => jobs.clear(),
    apply({ key, value }) {
      if (!parseJobKey(key).isCancellation) {
        put(jobs, key, decode(StoredJob, value));
      }
    },
  });
  const readProgress = createReader(
    store,
    { topic: PROGRESS_TOPIC, partition },
    {
      reset: () => progress.clear(),
      apply: ({ key, value }) =>
        put(progress, key, decode(StoredProgress, value)),
    },
  );
  return {
    jobs,
    progress,
    refresh: shareCalls(async () => {
      // A job is removed before its progress, so that this order misses none.
      return await readProgress() && await readJobs();
    }),
    dropTimer: undefined,
  };
}

function decode<Document>(
  schema: z.ZodType<Document>,
  value: string | undefined,
): Document | undefined {
  return schema.safeParse(parseJson(value)).data;
}

function put<Value>(
  map: Map<string, Value>,
  key: string,
  value: Value | undefined,
): void {
  if (value === undefined) map.delete(key);
  else map.set(key, value);
}

/**
 * Creates a function that reads a partition of a topic to its end: the newest
 * record of each key first, then the changes since the last call. It returns
 * whether the store answered.
 */
function createReader(
  store: Store,
  topicPartition: TopicPartition,
  { reset, apply }: {
    /** Forgets all records, before the newest ones are applied. */
    reset(): void;
    apply(record: StoredRecord): void;
  },
): () => Promise<boolean> {
  let nextOffset: number | undefined;

  const readSnapshot = async (): Promise<boolean> => {
    const outcome = await store.readNewest(topicPartition);
    if (outcome.type === "failed") return false;
    reset();
    outcome.records.forEach(apply);
    nextOffset = outcome.nextOffset;
    return true;
  };

  return async () => {
    for (let reads = 0; reads < MAX_READS; reads++) {
      if (nextOffset === undefined) return await readSnapshot();
      const outcome = await store.read(topicPartition, {
        from: nextOffset,
        waitMs: 0,
      });
      if (outcome.type === "failed") return false;
      if (outcome.type === "gap") {
        nextOffset = undefined;
        continue;
      }
      outcome.records.forEach(apply);
      nextOffset = Math.max(nextOffset, outcome.nextOffset);
      const { records, end = nextOffset } = outcome;
      if (records.length === 0 || nextOffset >= end) return nextOffset >= end;
    }
    return false;
  };
}
