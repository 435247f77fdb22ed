/**
 * Topics of the store and their keys.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Caller } from "./submission.ts";

/** Topic of accepted and cancelled jobs, to which any member appends. */
export const JOBS_TOPIC = "jobs";

/** Topic of the progress of jobs, to which only partition owners append. */
export const PROGRESS_TOPIC = "progress";

/** Topic of the members' reports that an owner gives them no answer. */
export const REACH_TOPIC = "reach";

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

/** Length of the part of a key that stands for a caller. */
const CALLER_DIGITS = 16;

/**
 * Returns the key of the record by which a caller cancels a job. Callers have
 * keys of their own, since the store keeps the newest record of each key: the
 * cancellation of an organisation must not replace that of another one.
 */
export function cancelKey(id: string, caller: Caller = {}): string {
  const { organisation, queue } = caller;
  if (organisation === undefined && queue === undefined) {
    return id + CANCEL_SUFFIX;
  }
  const digest = createHash("sha256")
    .update(JSON.stringify([organisation ?? null, queue ?? null]))
    .digest("hex").slice(0, CALLER_DIGITS);
  return `${id}.${digest}${CANCEL_SUFFIX}`;
}

/** Returns the job of a key, and whether the record cancels that job. */
export function parseJobKey(
  key: string,
): { id: string; isCancellation: boolean } {
  const isCancellation = key.endsWith(CANCEL_SUFFIX);
  return {
    id: isCancellation ? key.slice(0, key.indexOf(".")) : key,
    isCancellation,
  };
}
