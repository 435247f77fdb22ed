/**
 * Submits, cancels and lists jobs for operators.
 *
 * @module
 */

import {
  findPlacementBlocker,
  type RecentOutcome,
} from "@lagoonloom/decisions";
import type {
  JobCancellation,
  JobList,
  JobOutcome,
  JobSubmission,
} from "@lagoonloom/operators";
import type { ControlRecord } from "@lagoonloom/records";
import {
  appendAndFold,
  type AppendAndFoldOptions,
} from "../append_and_fold.ts";
import type { ControlFold } from "../control_fold.ts";

/** Limit on the jobs in one answer. */
const MAX_LISTED_JOBS = 1_000;

/**
 * Submits a job under the id of the request, so that a repeated request has no
 * second effect. The answer says why if no worker of the set can run the job.
 *
 * @example
 * ```ts
 * const outcome = await submitJob(submission, options);
 * ```
 */
export async function submitJob(
  submission: JobSubmission,
  options: AppendAndFoldOptions,
): Promise<JobOutcome> {
  const { requestId: id, job, team, urgency, cores, memory_gb } = submission;
  const { accelerators, run_s: declaredRunS } = submission;
  return await appendRequest(job, {
    id,
    body: {
      type: "job.submitted",
      job,
      team,
      urgency,
      declared: { cores, memory_gb, accelerators },
      declaredRunS,
      dataCentres: submission.data_centres,
    },
  }, options);
}

/**
 * Cancels a job under the id of the request. Once the cancellation is accepted,
 * the job is never placed again.
 *
 * @example
 * ```ts
 * const outcome = await cancelJob({ job, requestId, operator }, options);
 * ```
 */
export async function cancelJob(
  { job, requestId: id, operator }: JobCancellation & { job: string },
  options: AppendAndFoldOptions,
): Promise<JobOutcome> {
  const body = { type: "job.cancelled" as const, job, operator };
  return await appendRequest(job, { id, body }, options);
}

async function appendRequest(
  job: string,
  record: { id: string; body: ControlRecord },
  options: AppendAndFoldOptions,
): Promise<JobOutcome> {
  const { fold } = options;
  const remembered = fold.state().outcomes.get(record.id);
  if (remembered !== undefined) return toJobOutcome(job, remembered, fold);
  const result = await appendAndFold(record, options);
  if (result.type === "not-appended") {
    return { type: "refused", cause: "unavailable", reason: result.reason };
  }
  const { id: requestId } = record;
  const found = fold.state().outcomes.get(requestId);
  if (result.type === "unknown" || found === undefined) {
    return { type: "unknown", requestId };
  }
  return toJobOutcome(job, found, fold);
}

function toJobOutcome(
  job: string,
  { outcome, offset }: RecentOutcome,
  fold: ControlFold,
): JobOutcome {
  if (outcome.type === "refused") {
    return { type: "refused", cause: "invalid", reason: outcome.reason };
  }
  const state = fold.state();
  const found = state.jobs.get(job);
  const blocked = found?.state === "queued"
    ? findPlacementBlocker(state, found)
    : undefined;
  return {
    type: "accepted",
    job,
    offset,
    ...(blocked === undefined ? {} : { blocked }),
  };
}

/**
 * Lists the jobs in a state, or all jobs if no state is given, ordered by their
 * last change of state, newest first. `omitted` counts the jobs beyond the
 * limit of one answer.
 *
 * @example
 * ```ts
 * const { jobs } = listJobs("queued", fold);
 * ```
 */
export function listJobs(
  stateFilter: string | undefined,
  fold: ControlFold,
): JobList {
  const state = fold.state();
  const found = [...state.jobs]
    .filter(([, job]) => stateFilter === undefined || job.state === stateFilter)
    .sort(([, a], [, b]) => b.sinceMs - a.sinceMs);
  const jobs = found.slice(0, MAX_LISTED_JOBS).map(([name, job]) => ({
    job: name,
    team: job.team,
    urgency: job.urgency,
    state: job.state,
    attempt: job.attempt,
    ...(job.worker === undefined ? {} : { worker: job.worker }),
    sinceMs: job.sinceMs,
    reason: job.reason,
  }));
  const omitted = found.length - jobs.length;
  return { offset: state.nextOffset, jobs, omitted };
}
