import type { Job } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import type { Cancellation } from "../submission.ts";
import { cancelKey, JOBS_TOPIC } from "../topics.ts";

/** Time for which an ended job is kept after its retention time. */
const RETENTION_MARGIN_MS = 30_000;

/** Interval between searches for expired jobs. */
const INTERVAL_MS = 5_000;

/** Most jobs that one append removes, and most cancellations without a job. */
const MAX_JOBS_PER_APPEND = 200;

const APPEND_TIMEOUT_MS = 1_500;

/**
 * Starts removing ended jobs whose retention time is over, and cancellations as
 * old of jobs that never came, until the owner closes. A job's acceptance
 * record is removed before its progress: the next owner would run an accepted
 * job without progress again.
 */
export function startRemovingExpiredJobs(owner: OwnerState): void {
  const timer = setInterval(() => {
    if (owner.isClosed) clearInterval(timer);
    else if (owner.isLoaded && !owner.isReleasing) {
      void removeExpiredBatch(owner);
    }
  }, INTERVAL_MS);
}

async function removeExpiredBatch(owner: OwnerState): Promise<void> {
  const { partition, endedJobRetentionMs } = owner.options;
  const endedBeforeMs = Date.now() - endedJobRetentionMs - RETENTION_MARGIN_MS;
  const expired = [...owner.jobs.values()]
    .filter((job) => isExpired(job, endedBeforeMs))
    .slice(0, MAX_JOBS_PER_APPEND);
  const cancellations = expiredCancellations(owner, endedBeforeMs)
    .slice(0, MAX_JOBS_PER_APPEND);
  if (expired.length + cancellations.length === 0) return;
  const keys = [
    ...expired.flatMap(({ id }) => [id, cancelKey(id)]),
    ...cancellations.map(({ id, caller }) => cancelKey(id, caller)),
  ];
  // If the outcome is not certain, the next search removes the jobs again.
  if (!await removeRecords(owner, keys)) return;
  for (const job of expired) removeJob(owner, job);
  forgetCancellations(owner, cancellations);
  if (expired.length === 0) return;
  owner.options.events.log("jobsForgotten", {
    partition,
    jobs: expired.length,
  });
}

/**
 * Removes records of the jobs topic.
 *
 * @returns whether that is certain and the owner still open
 */
export async function removeRecords(
  owner: OwnerState,
  keys: readonly string[],
): Promise<boolean> {
  const { store, partition } = owner.options;
  const outcome = await store.append({ topic: JOBS_TOPIC, partition }, {
    records: keys.map((key) => ({ key, value: undefined })),
    timeoutMs: APPEND_TIMEOUT_MS,
  });
  return outcome.type === "stored" && !owner.isClosed;
}

type KnownCancellation = Cancellation & { id: string };

/**
 * Returns the old cancellations that no job needs any more: one of a job whose
 * outcome is not stored is what the next owner learns it from.
 */
function expiredCancellations(
  owner: OwnerState,
  endedBeforeMs: number,
): KnownCancellation[] {
  const expired: KnownCancellation[] = [];
  for (const [id, cancellations] of owner.cancellations) {
    if (owner.jobs.get(id)?.isOutcomeStored === false) continue;
    const unsent = owner.forwardedJobs.get(id)?.cancellations ?? [];
    if (unsent.length > 0) continue;
    for (const cancellation of cancellations) {
      if (cancellation.cancelledAtMs > endedBeforeMs) continue;
      expired.push({ ...cancellation, id });
    }
  }
  return expired;
}

function forgetCancellations(
  owner: OwnerState,
  expired: readonly KnownCancellation[],
): void {
  for (const { id, caller } of expired) {
    const key = cancelKey(id, caller);
    const others = (owner.cancellations.get(id) ?? [])
      .filter((kept) => cancelKey(id, kept.caller) !== key);
    if (others.length > 0) owner.cancellations.set(id, others);
    else owner.cancellations.delete(id);
  }
}

function isExpired(job: Job, endedBeforeMs: number): boolean {
  if (job.endedAtMs === undefined || !job.isOutcomeStored) return false;
  if (job.endedAtMs > endedBeforeMs) return false;
  return job.groups.every(({ tasks }) =>
    tasks.every(({ runs }) => runs.length === 0)
  );
}

function removeJob(owner: OwnerState, job: Job): void {
  for (const { tasks } of job.groups) {
    for (const { name } of tasks) owner.failedRuns.delete(name);
  }
  owner.jobs.delete(job.id);
  owner.progress.put(job.id, () => undefined);
}
