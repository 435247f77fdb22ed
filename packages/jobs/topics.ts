/** Topic of accepted and cancelled jobs; any member appends to it. */
export const JOBS_TOPIC = "jobs";

/** Topic of the progress of jobs; only the owner of a partition appends. */
export const PROGRESS_TOPIC = "progress";

/** Group whose members own the partitions of {@linkcode JOBS_TOPIC}. */
export const OWNERS_GROUP = "owners";

/** Key under which an owner stores the executors that it has used. */
export const USED_EXECUTORS_KEY = "executors";

/** Key under which an owner that leaves stores what it has running. */
export const HANDOVER_KEY = "handover";

const CANCEL_SUFFIX = ".c";

/** Returns the key of the record that cancels a job. */
export function cancelKey(id: string): string {
  return id + CANCEL_SUFFIX;
}

/** Returns the job that a key of {@linkcode JOBS_TOPIC} is about. */
export function parseJobKey(
  key: string,
): { id: string; isCancellation: boolean } {
  const isCancellation = key.endsWith(CANCEL_SUFFIX);
  return {
    id: isCancellation ? key.slice(0, -CANCEL_SUFFIX.length) : key,
    isCancellation,
  };
}
