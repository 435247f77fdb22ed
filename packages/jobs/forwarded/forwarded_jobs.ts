/**
 * Functions on the forwarded jobs of an owner.
 *
 * @module
 */

import { partitionOf } from "../owned/layout.ts";
import { encodeCancellation } from "../owned/load_partition.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { mayAccess } from "../organisations/keys/job_access.ts";
import type { ForwardedJob, RecordedJob } from "./forwarded_job.ts";

/**
 * Returns the partition that runs a job; undefined if its service has none yet,
 * as far as this owner knows.
 */
export function targetOf(
  owner: OwnerState,
  { id, service }: { id: string; service: string },
): number | undefined {
  const { view } = owner.options;
  const partition = partitionOf(view.layout(), { service, key: id });
  if (partition === undefined) view.requestLayout();
  return partition;
}

/** Creates a forwarded job with the cancellations that came before it. */
export function createForwardedJob(
  owner: OwnerState,
  { id, accepted, offset, progress }: RecordedJob,
): ForwardedJob {
  const { queue, organisation, service } = accepted;
  const cancellations = owner.cancellations.get(id) ?? [];
  return {
    id,
    queue,
    organisation,
    service,
    offset,
    accepted: progress?.isForwarded === true ? undefined : accepted,
    decision: progress === undefined ? "open" : "stored",
    cancellations: cancellations.map((it) => encodeCancellation(id, it)),
    seenAtMs: performance.now(),
  };
}

/** Returns whether a caller with access to a forwarded job has cancelled it. */
export function isCancelled(owner: OwnerState, job: ForwardedJob): boolean {
  const cancellations = owner.cancellations.get(job.id) ?? [];
  return cancellations.some(({ caller }) => mayAccess(job, caller ?? {}));
}

/** Counts the jobs of a queue that wait for being handed on. */
export function countUnforwarded(owner: OwnerState, queue: string): number {
  return [...owner.forwardedJobs.values()].filter((job) =>
    job.queue === queue && job.accepted !== undefined &&
    !isCancelled(owner, job)
  ).length;
}
