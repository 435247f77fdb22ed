/**
 * Topics of the store and their keys.
 *
 * @module
 */

/** Topic of accepted and cancelled jobs, to which any member appends. */
export const JOBS_TOPIC = "jobs";

/** Topic of the progress of jobs, to which only partition owners append. */
export const PROGRESS_TOPIC = "progress";

/** Consumer group that shares the partitions of {@linkcode JOBS_TOPIC}. */
export const OWNERS_GROUP = "owners";

/** Key of the list of executors on which an owner may have started tasks. */
export const USED_EXECUTORS_KEY = "executors";

/**
 * Key of the Unix times at which these executors started, by id. An executor
 * that has restarted since its first use has none.
 */
export const EXECUTOR_STARTS_KEY = "executor-starts";

/** Key of the runs that an owner leaves when it gives up a partition. */
export const HANDOVER_KEY = "handover";

const CANCEL_SUFFIX = ".c";

/** Returns the key of the record that cancels a job. */
export function cancelKey(id: string): string {
  return id + CANCEL_SUFFIX;
}

/** Returns the job of a key, and whether the record cancels that job. */
export function parseJobKey(
  key: string,
): { id: string; isCancellation: boolean } {
  const isCancellation = key.endsWith(CANCEL_SUFFIX);
  return {
    id: isCancellation ? key.slice(0, -CANCEL_SUFFIX.length) : key,
    isCancellation,
  };
}
