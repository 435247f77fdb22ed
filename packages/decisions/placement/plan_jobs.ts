/**
 * Plans one round of job placement.
 *
 * @module
 */

import { planRecord } from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import type { JobSize } from "../fold/job_state.ts";
import {
  collectQueue,
  type JobQueue,
  type QueuedJob,
  URGENCIES,
  type Urgency,
} from "./internal/job_queue.ts";
import {
  beginRound,
  type JobRound,
  type Worker,
} from "./internal/job_round.ts";
import { planAttempts, planParking } from "./internal/plan_attempts.ts";
import {
  planCheckpoints,
  planDrains,
  planOveruse,
} from "./internal/plan_overuse.ts";
import { preemptForJob, preemptForQuota } from "./internal/plan_preemption.ts";
import { planWorkerStates } from "./internal/plan_worker_states.ts";
import {
  allowsJob,
  computeBudgets,
  type TeamBudgets,
  usedShare,
} from "./internal/team_budget.ts";
import {
  assignJob,
  findWorker,
  indexWorkers,
  type WorkerIndex,
} from "./internal/worker_index.ts";
import type { JobObservations } from "./job_observations.ts";
import type { JobPlan, PlanJobsOptions } from "./job_plan.ts";
import { addSize, fitsInto, knownSize } from "./job_size.ts";

/** Limit on the jobs of one urgency class that a round tries to place. */
export const MAX_JOBS_PER_CLASS = 32;

/** Limit on the placements of a round, so that bursts leave room in the log. */
export const MAX_PLACEMENTS_PER_ROUND = 24;

/** Limit on the jobs of a team, unless urgent, that a round tries in vain. */
const MAX_SKIPPED_PER_TEAM = 4;

/**
 * Plans the next steps for the jobs of a decider's data centre: ends and starts
 * of attempts, suspensions, preemptions, steps against overuse, and placements.
 * The work of a round is bounded; the rest waits for the next round.
 *
 * @example
 * ```ts
 * const { records, actions } = planJobs(state, observations, options);
 * ```
 */
export function planJobs(
  state: FleetState,
  observations: JobObservations,
  options: PlanJobsOptions,
): JobPlan {
  const round = beginRound(state, observations, options);
  const blocked = new Map<string, string>();
  planAttempts(round);
  planWorkerStates(round);
  planDrains(round);
  const parked = planParking(round);
  for (const name of parked) round.pending.add(name);
  const placement: Placement = {
    round,
    index: indexWorkers(round),
    budgets: computeBudgets(round),
    placed: 0,
    trialWorkers: [...round.workers.values()].filter((worker) =>
      worker.isSchedulable && worker.isOnTrial && worker.runs.length === 0
    ),
  };
  const queue = collectQueue(round, blocked);
  for (const urgency of URGENCIES) {
    // Capacity that waiting jobs of a class need must not go to later classes.
    if (!placeClass(placement, queue, urgency)) break;
  }
  planOveruse(round);
  planCheckpoints(round);
  const { records, actions } = round;
  return { records, actions, blocked };
}

type Placement = {
  round: JobRound;
  index: WorkerIndex;
  budgets: TeamBudgets;
  /** Number of jobs placed in this round. */
  placed: number;
  /** Workers on trial that have no job yet. */
  trialWorkers: Worker[];
};

/**
 * Places the jobs of one urgency class. Returns false if a limit was reached
 * before all teams were served.
 */
function placeClass(
  placement: Placement,
  queue: JobQueue,
  urgency: Urgency,
): boolean {
  const teams = new Map(
    [...queue[urgency]].map(([team, queued]) => [
      team,
      { queued, next: 0, skipped: 0 },
    ]),
  );
  for (let tries = 0; teams.size > 0; tries++) {
    if (
      tries >= MAX_JOBS_PER_CLASS ||
      placement.placed >= MAX_PLACEMENTS_PER_ROUND
    ) return false;
    const team = findLeastServedTeam(placement.budgets, teams.keys());
    const teamQueue = teams.get(team)!;
    const queued = teamQueue.queued[teamQueue.next++]!;
    const isPlaced = tryJob(placement, queued);
    if (!isPlaced) teamQueue.skipped++;
    const isDone = teamQueue.next >= teamQueue.queued.length ||
      teamQueue.skipped >
        (urgency === "urgent" ? MAX_JOBS_PER_CLASS : MAX_SKIPPED_PER_TEAM);
    if (isDone) teams.delete(team);
  }
  return true;
}

/** Returns the team that uses the smallest share of its quota. */
function findLeastServedTeam(
  budgets: TeamBudgets,
  teams: Iterable<string>,
): string {
  let least = "";
  let leastShare = Infinity;
  for (const team of teams) {
    const budget = budgets.get(team);
    const share = budget === undefined ? 1e9 : usedShare(budget);
    if (share < leastShare) [least, leastShare] = [team, share];
  }
  return least;
}

function tryJob(placement: Placement, queued: QueuedJob): boolean {
  const { round, index, budgets } = placement;
  const { name, job } = queued;
  const size = knownSize(job);
  const { team, failedWorkers } = job;
  const isUrgent = job.urgency === "urgent";
  const mayPreempt = isUrgent && round.options.mayPreempt !== false;
  if (!allowsJob(budgets, team, size)) {
    const remaining = budgets.get(team)?.remaining;
    if (mayPreempt && remaining !== undefined) {
      preemptForQuota(round, { name, team, remaining, size });
    }
    return false;
  }
  const worker = (isUrgent ? undefined : takeTrialWorker(placement, queued)) ??
    findWorker(index, { size, team, failedWorkers });
  if (worker === undefined) {
    if (!mayPreempt) return false;
    const hasVictims = preemptForJob(round, { name, size, failedWorkers });
    // Reserves the quota too, so that no other job uses it in the meantime.
    if (hasVictims) addSize(budgets.get(team)!.remaining, size, -1);
    return false;
  }
  place(placement, { ...queued, worker, size });
  return true;
}

function takeTrialWorker(
  placement: Placement,
  { job }: QueuedJob,
): Worker | undefined {
  if (job.failedWorkers.length > 0) return undefined;
  const at = placement.trialWorkers.findIndex((worker) =>
    fitsInto(knownSize(job), worker.free)
  );
  return at < 0 ? undefined : placement.trialWorkers.splice(at, 1)[0];
}

function place(
  placement: Placement,
  { name, job, worker, size }: QueuedJob & { worker: Worker; size: JobSize },
): void {
  const { round, index, budgets } = placement;
  const { state, options } = round;
  const freeBefore = { ...worker.free };
  if (worker.isOnTrial) {
    addSize(worker.free, size, -1);
    addSize(worker.freeAfterPreemption, size, -1);
  } else assignJob(index, worker, { size, team: job.team });
  addSize(budgets.get(job.team)!.remaining, size, -1);
  placement.placed++;
  const reason = worker.isOnTrial
    ? "trial job of a suspended worker"
    : `best fit: ${roundToTenth(freeBefore.cores)} cores and ${
      roundToTenth(freeBefore.memory_gb)
    } GB were free in ${worker.rack}`;
  round.records.push(planRecord(state, {
    type: "job.placed",
    ...options.term,
    job: name,
    attempt: job.attempt + 1,
    worker: worker.name,
    leaseMs: options.leaseMs,
    reason,
  }));
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
