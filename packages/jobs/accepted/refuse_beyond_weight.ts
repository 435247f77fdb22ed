/**
 * Refusal of jobs that an organisation sends beyond its weight to a full
 * service.
 *
 * @module
 */

import type {
  AdmissionView,
  ArrivingJob,
} from "../organisations/shares/admission_view.ts";
import type { QueryResult } from "../queries/query_result.ts";
import type { JobState } from "../submission.ts";

/** Longest wait for an owner before a job beyond a weight is accepted. */
const OWNER_TIMEOUT_MS = 500;

/** Outcome of a job that is not stored, as it is beyond a weight. */
export type BeyondWeightOutcome = {
  type: "beyondWeight";
  /** Time after which the caller may retry, in milliseconds. */
  retryAfterMs: number;
};

/** Job before it is known whether it has an organisation and a partition. */
export type NewJob = Pick<ArrivingJob, "service"> & {
  partition: number | undefined;
  organisation: string | undefined;
};

/**
 * Decides on a job before anything of it is stored. It is refused only after
 * the owner has answered that it doesn't know the job: an earlier call may have
 * stored it without an answer, and a refused job must not run. The answer also
 * tells whether the service is still full. Without an answer, the job is
 * accepted.
 *
 * @returns undefined if the job should be accepted
 */
export async function refuseBeyondWeight(
  { partition, service, organisation }: NewJob,
  { view, findJob }: {
    view: AdmissionView;
    /** Queries the state of the job, which renews the view. */
    findJob(timeoutMs: number): Promise<QueryResult<JobState>>;
  },
): Promise<{ type: "stored" } | BeyondWeightOutcome | undefined> {
  if (organisation === undefined || partition === undefined) return undefined;
  const job = { partition, service, organisation };
  if (!view.isBeyondWeight(job)) return undefined;
  const found = await findJob(OWNER_TIMEOUT_MS);
  if (found.type === "known") return { type: "stored" };
  if (found.type === "unavailable") return undefined;
  if (!view.isBeyondWeight(job)) return undefined;
  return { type: "beyondWeight", retryAfterMs: view.takeReturnMs(job) };
}
