/**
 * Jobs whose ids a partition keeps and that another partition runs.
 *
 * @module
 */

import type { Progress } from "../ended/progress.ts";
import type { OwnedJob } from "../organisations/keys/job_access.ts";
import type { KeyedRecord } from "../ports.ts";
import type { AcceptedJob } from "../submission.ts";

/**
 * Job of a queue that has its home in this partition, for a service with
 * another partition. Its owner runs nothing of it, but hands on the job and its
 * cancellations.
 */
export type ForwardedJob = OwnedJob & {
  id: string;
  /** Service that runs the job. */
  service: string;
  /** Offset of the job's record here. */
  offset: number;
  /**
   * Record to be stored in the partition of the service; undefined once it is
   * stored there.
   */
  accepted: AcceptedJob | undefined;
  /**
   * Whether it is stored that this service runs the job. Nothing is handed on
   * before: another owner might decide by another record of the job.
   */
  decision: "open" | "storing" | "stored";
  /** Records of cancellations to be stored in the partition of the service. */
  cancellations: KeyedRecord[];
  /** Monotonic time at which the job was last known to exist there. */
  seenAtMs: number;
};

/** Job of a record, with the progress that an earlier owner has stored. */
export type RecordedJob = {
  id: string;
  accepted: AcceptedJob;
  offset: number;
  progress: Progress | undefined;
};

/** Returns whether a job and its cancellations are stored where it runs. */
export function isHandedOn({ accepted, cancellations }: ForwardedJob): boolean {
  return accepted === undefined && cancellations.length === 0;
}

/** Encodes the progress of a forwarded job as JSON for the store. */
export function encodeForwarded({ service, accepted }: ForwardedJob): string {
  const isForwarded = accepted === undefined;
  const progress: Progress = {
    done: {},
    failed: {},
    service,
    ...(isForwarded ? { isForwarded } : {}),
  };
  return JSON.stringify(progress);
}
