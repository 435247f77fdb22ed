import type { FleetState } from "../fold/fleet_state.ts";
import type { JobState } from "../fold/job_state.ts";
import { findExceededQuota } from "../fold/internal/team_usage.ts";
import { knownSize } from "../placement/job_size.ts";
import { findPlacementBlocker } from "../placement/find_placement_blocker.ts";
import { type Explanation, formatTime } from "./explanation.ts";

/**
 * Explains the state of a job, what it waits for and what would change that.
 *
 * @example
 * ```ts
 * const { sentences } = explainJob(state, "render-17");
 * ```
 */
export function explainJob(state: FleetState, name: string): Explanation {
  const job = state.jobs.get(name);
  if (job === undefined) {
    return {
      sentences: [
        `There is no job "${name}"; jobs that ended long ago are not kept.`,
      ],
      facts: {},
    };
  }
  const { cores, memory_gb, accelerators } = knownSize(job);
  const sentences = [
    `Job "${name}" of team "${job.team}" (${job.urgency}) is ${job.state} since ${
      formatTime(job.sinceMs)
    }: ${job.reason}.`,
    `It needs ${cores} cores, ${memory_gb} GB and ${accelerators} accelerators, ${
      job.used === undefined
        ? "as declared"
        : "as measured in an earlier attempt"
    }.`,
    ...describeState(state, job),
  ];
  if (job.failedWorkers.length > 0) {
    sentences.push(`It failed on ${job.failedWorkers.join(", ")}.`);
  }
  return { sentences, facts: { ...job } };
}

function describeState(state: FleetState, job: JobState): string[] {
  switch (job.state) {
    case "running":
      return [`Attempt ${job.attempt} runs on "${job.worker}".`];
    case "parked":
      return [
        "It is not retried; cancel it and submit it with another id.",
      ];
    case "queued":
      return [describeWait(state, job)];
    default:
      return [];
  }
}

function describeWait(state: FleetState, job: JobState): string {
  const whyNever = findPlacementBlocker(state, job);
  if (whyNever !== undefined) {
    return `It can't run until the set changes: ${whyNever}`;
  }
  const quota = findExceededQuota(state, job);
  if (quota !== undefined) return `It waits for its team's quota: ${quota}`;
  return job.urgency === "urgent"
    ? "It waits for a worker; jobs that are not urgent are preempted for it."
    : "It waits for free capacity on a worker, after urgent jobs and teams that use a smaller share of their quotas.";
}
