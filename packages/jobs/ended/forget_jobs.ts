import type { Job } from "../job.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { cancelKey, JOBS_TOPIC } from "../topics.ts";

/** Time beyond its showing after which an ended job is forgotten. */
const SHOW_MARGIN_MS = 30_000;

/** Period of the search for jobs to forget. */
const PERIOD_MS = 5_000;

/** Jobs that are forgotten with one append. */
const MAX_FORGOTTEN = 200;

const APPEND_TIMEOUT_MS = 1_500;

/**
 * Forgets jobs that nobody can ask for any more, until the owner closes. The
 * accepting record goes first: a job whose progress alone were gone would be
 * run again by the next owner.
 */
export function forgetJobs(owner: OwnerState): void {
  const timer = setInterval(() => {
    if (owner.isClosed) clearInterval(timer);
    else if (owner.isLoaded && !owner.isReleasing) void forgetSome(owner);
  }, PERIOD_MS);
}

async function forgetSome(owner: OwnerState): Promise<void> {
  const { store, partition, endedJobRetentionMs: showMs } = owner.options;
  const endedBeforeMs = Date.now() - showMs - SHOW_MARGIN_MS;
  const old = [...owner.jobs.values()]
    .filter((job) => mayForget(job, endedBeforeMs))
    .slice(0, MAX_FORGOTTEN);
  if (old.length === 0) return;
  const keys = old.flatMap(({ id }) => [id, cancelKey(id)]);
  const outcome = await store.append({ topic: JOBS_TOPIC, partition }, {
    records: keys.map((key) => ({ key, value: undefined })),
    timeoutMs: APPEND_TIMEOUT_MS,
  });
  // The next round repeats what is not known to be stored.
  if (outcome.type !== "stored" || owner.isClosed) return;
  for (const job of old) dropJob(owner, job);
  owner.options.events.log("jobsForgotten", { partition, jobs: old.length });
}

function mayForget(job: Job, endedBeforeMs: number): boolean {
  if (job.endedAtMs === undefined || !job.isOutcomeStored) return false;
  if (job.endedAtMs > endedBeforeMs) return false;
  return job.groups.every(({ tasks }) =>
    tasks.every(({ runs }) => runs.length === 0)
  );
}

function dropJob(owner: OwnerState, job: Job): void {
  for (const { tasks } of job.groups) {
    for (const { name } of tasks) owner.failedRuns.delete(name);
  }
  owner.jobs.delete(job.id);
  owner.progress.put(job.id, () => undefined);
}
