/**
 * Hands jobs on to the partition of their service, with their cancellations.
 *
 * @module
 */

import { shareCalls } from "../_share_calls.ts";
import { encodeCancellation } from "../owned/load_partition.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import type { KeyedRecord } from "../ports.ts";
import type { Cancellation } from "../submission.ts";
import { JOBS_TOPIC } from "../topics.ts";
import {
  encodeForwarded,
  type ForwardedJob,
  isHandedOn,
  type RecordedJob,
} from "./forwarded_job.ts";
import { createForwardedJob, targetOf } from "./forwarded_jobs.ts";

/** Delay before something is tried again that could not be handed on. */
const RETRY_MS = 250;

/** Longest wait for the store's answer to one append. */
const APPEND_TIMEOUT_MS = 1_500;

/** Length from which on an append takes no further job. */
const MAX_APPEND_BYTES = 262_144;

/** Records of a forwarded job that one append hands on. */
type Batch = { job: ForwardedJob; records: KeyedRecord[] }[];

/**
 * Lets an owner hand on its forwarded jobs until it closes, each time that
 * `owner.forwardSoon` is called and until all is stored. A job whose partition
 * turns out to be this one is passed to `addHere`.
 */
export function startForwarding(
  owner: OwnerState,
  { addHere }: { addHere(job: RecordedJob): void },
): void {
  let retry: NodeJS.Timeout | undefined;

  const run = shareCalls(async () => {
    if (owner.isClosed) return;
    const isDecided = decide(owner, addHere);
    const isSent = await sendAll(owner);
    if (isDecided && isSent) return;
    clearTimeout(retry);
    retry = setTimeout(owner.forwardSoon, RETRY_MS);
  });

  owner.forwardSoon = () => {
    if (!owner.isClosed && owner.isLoaded) void run();
  };
}

/** Adds a job that another partition may have to run. */
export function forwardJob(owner: OwnerState, job: RecordedJob): void {
  owner.forwardedJobs.set(job.id, createForwardedJob(owner, job));
  owner.forwardSoon();
}

/** Hands on a cancellation of a forwarded job. */
export function forwardCancellation(
  owner: OwnerState,
  job: ForwardedJob,
  cancellation: Cancellation,
): void {
  job.cancellations.push(encodeCancellation(job.id, cancellation));
  owner.forwardSoon();
}

/**
 * Stores for new jobs which service runs them, once its partition is known.
 *
 * @returns whether it is known for all of them
 */
function decide(
  owner: OwnerState,
  addHere: (job: RecordedJob) => void,
): boolean {
  const { partition, events } = owner.options;
  let isDecided = true;
  for (const job of owner.forwardedJobs.values()) {
    const { id, service, offset, accepted } = job;
    if (job.decision !== "open" || accepted === undefined) continue;
    const target = targetOf(owner, job);
    if (target === undefined) {
      isDecided = false;
      continue;
    }
    if (target === partition) {
      owner.forwardedJobs.delete(id);
      addHere({ id, accepted, offset, progress: undefined });
      continue;
    }
    job.decision = "storing";
    events.log("jobForwarded", { job: id, partition, to: target, service });
    owner.progress.put(id, () => encodeForwarded(job), { isUrgent: true });
    owner.progress.whenStored(() => {
      job.decision = "stored";
      owner.forwardSoon();
    });
  }
  return isDecided;
}

/** Sends what waits to each partition; returns whether all of it is stored. */
async function sendAll(owner: OwnerState): Promise<boolean> {
  const jobsByTarget = new Map<number, ForwardedJob[]>();
  let isComplete = true;
  for (const job of owner.forwardedJobs.values()) {
    if (job.decision !== "stored" || isHandedOn(job)) continue;
    const target = targetOf(owner, job);
    if (target === undefined) isComplete = false;
    else jobsByTarget.set(target, [...jobsByTarget.get(target) ?? [], job]);
  }
  const results = await Promise.all(
    [...jobsByTarget].map(([target, jobs]) => sendTo(owner, { target, jobs })),
  );
  return isComplete && results.every((isStored) => isStored);
}

async function sendTo(
  owner: OwnerState,
  { target, jobs }: { target: number; jobs: readonly ForwardedJob[] },
): Promise<boolean> {
  const { store, partition, events } = owner.options;
  for (const batch of toBatches(jobs)) {
    const outcome = await store.append(
      { topic: JOBS_TOPIC, partition: target },
      {
        records: batch.flatMap(({ records }) => records),
        timeoutMs: APPEND_TIMEOUT_MS,
      },
    );
    if (owner.isClosed) return true;
    if (outcome.type !== "stored") {
      const reason = "reason" in outcome ? outcome.reason : outcome.type;
      events.log("forwardingDelayed", {
        partition,
        to: target,
        jobs: jobs.length,
        reason,
      });
      return false;
    }
    for (const { job, records } of batch) noteSent(owner, job, records);
  }
  return true;
}

/** Divides what waits into batches, each job before its cancellations. */
function toBatches(jobs: readonly ForwardedJob[]): Batch[] {
  const batches: Batch[] = [];
  let bytes = Infinity;
  for (const job of jobs) {
    const { id, accepted, cancellations } = job;
    const records = [...cancellations];
    if (accepted !== undefined) {
      records.unshift({ key: id, value: JSON.stringify(accepted) });
    }
    const length = records.reduce(
      (sum, { key, value = "" }) => sum + key.length + Buffer.byteLength(value),
      0,
    );
    if (bytes + length > MAX_APPEND_BYTES) {
      batches.push([]);
      bytes = 0;
    }
    bytes += length;
    batches.at(-1)!.push({ job, records });
  }
  return batches;
}

function noteSent(
  owner: OwnerState,
  job: ForwardedJob,
  records: readonly KeyedRecord[],
): void {
  job.cancellations = job.cancellations
    .filter((record) => !records.includes(record));
  job.seenAtMs = performance.now();
  if (job.accepted === undefined) return;
  job.accepted = undefined;
  owner.progress.put(job.id, () => encodeForwarded(job));
}
