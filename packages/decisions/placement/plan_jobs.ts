import { planRecord } from "../deciders/planned_record.ts";
import type { FleetState } from "../fold/fleet_state.ts";
import type { JobSize } from "../fold/job_state.ts";
import {
  collectQueue,
  type JobQueue,
  URGENCIES,
  type Urgency,
  type Waiting,
} from "./internal/job_queue.ts";
import { beginRound, type JobRound, type Room } from "./internal/job_round.ts";
import { planAttempts, planParking } from "./internal/plan_attempts.ts";
import {
  planCheckpoints,
  planDrains,
  planOveruse,
} from "./internal/plan_overuse.ts";
import { preemptFor, preemptForQuota } from "./internal/plan_preemption.ts";
import { planWorkerStates } from "./internal/plan_worker_states.ts";
import {
  findRoom,
  indexRooms,
  type RoomIndex,
  takeRoom,
} from "./internal/room_index.ts";
import {
  allows,
  computeBudgets,
  type TeamBudgets,
  usedShare,
} from "./internal/team_budget.ts";
import type { JobObservations } from "./job_observations.ts";
import type { JobPlan, PlanJobsOptions } from "./job_plan.ts";
import { addSize, fitsInto, knownSize } from "./job_size.ts";

/** Jobs of one class that a round tries to place. */
export const MAX_TRIES = 32;

/** Placements that a round appends, so that a burst leaves room in the log. */
export const MAX_PLACEMENTS = 24;

/** Jobs of a team that are tried in a round after one has no room. */
const MAX_SKIPPED = 4;

/**
 * Plans the next steps for the jobs of a decider's data centre: ends and starts
 * of attempts, suspensions, preemptions, steps against overuse, and placements.
 * The work of a round is bounded, so that what is left waits for the next one.
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
    index: indexRooms(round),
    budgets: computeBudgets(round),
    placed: 0,
    trials: [...round.rooms.values()].filter((room) =>
      room.isOpen && room.isTrial && room.runs.length === 0
    ),
  };
  const queue = collectQueue(round, blocked);
  for (const urgency of URGENCIES) {
    // Room that waiting urgent jobs need must not go to others.
    if (!placeClass(placement, queue, urgency)) break;
  }
  planOveruse(round);
  planCheckpoints(round);
  const { records, actions } = round;
  return { records, actions, blocked };
}

type Placement = {
  round: JobRound;
  index: RoomIndex;
  budgets: TeamBudgets;
  placed: number;
  /** Workers that wait for a trial job. */
  trials: Room[];
};

/** Places the jobs of one class; false if some were not tried. */
function placeClass(
  placement: Placement,
  queue: JobQueue,
  urgency: Urgency,
): boolean {
  const teams = new Map(
    [...queue[urgency]].map(([team, waiting]) => [
      team,
      { waiting, next: 0, skipped: 0 },
    ]),
  );
  for (let tries = 0; teams.size > 0; tries++) {
    if (tries >= MAX_TRIES || placement.placed >= MAX_PLACEMENTS) return false;
    const team = leastServed(placement.budgets, teams.keys());
    const line = teams.get(team)!;
    const waiting = line.waiting[line.next++]!;
    const isPlaced = tryJob(placement, waiting);
    if (!isPlaced) line.skipped++;
    const isDone = line.next >= line.waiting.length ||
      line.skipped > (urgency === "urgent" ? MAX_TRIES : MAX_SKIPPED);
    if (isDone) teams.delete(team);
  }
  return true;
}

/** Returns the team that uses the smallest share of its quota. */
function leastServed(budgets: TeamBudgets, teams: Iterable<string>): string {
  let least = "";
  let leastShare = Infinity;
  for (const team of teams) {
    const budget = budgets.get(team);
    const share = budget === undefined ? 1e9 : usedShare(budget);
    if (share < leastShare) [least, leastShare] = [team, share];
  }
  return least;
}

function tryJob(placement: Placement, waiting: Waiting): boolean {
  const { round, index, budgets } = placement;
  const { name, job } = waiting;
  const size = knownSize(job);
  const { team, failedWorkers } = job;
  const isUrgent = job.urgency === "urgent";
  const mayPreempt = isUrgent && round.options.mayPreempt !== false;
  if (!allows(budgets, team, size)) {
    const left = budgets.get(team)?.left;
    if (mayPreempt && left !== undefined) {
      preemptForQuota(round, { name, team, left, size });
    }
    return false;
  }
  const room = (isUrgent ? undefined : takeTrial(placement, waiting)) ??
    findRoom(index, { size, team, failedWorkers });
  if (room === undefined) {
    if (!mayPreempt) return false;
    const isMade = preemptFor(round, { name, size, failedWorkers });
    // The quota is reserved too, so that others don't use it meanwhile.
    if (isMade) addSize(budgets.get(team)!.left, size, -1);
    return false;
  }
  place(placement, { ...waiting, room, size });
  return true;
}

function takeTrial(placement: Placement, { job }: Waiting): Room | undefined {
  if (job.failedWorkers.length > 0) return undefined;
  const at = placement.trials.findIndex((room) =>
    fitsInto(knownSize(job), room.free)
  );
  return at < 0 ? undefined : placement.trials.splice(at, 1)[0];
}

function place(
  placement: Placement,
  { name, job, room, size }: Waiting & { room: Room; size: JobSize },
): void {
  const { round, index, budgets } = placement;
  const { state, options } = round;
  const left = { ...room.free };
  if (room.isTrial) {
    addSize(room.free, size, -1);
    addSize(room.future, size, -1);
  } else takeRoom(index, room, { size, team: job.team });
  addSize(budgets.get(job.team)!.left, size, -1);
  placement.placed++;
  const reason = room.isTrial
    ? "trial job of a suspended worker"
    : `best fit: ${round1(left.cores)} cores and ${
      round1(left.memory_gb)
    } GB were free in ${room.rack}`;
  round.records.push(planRecord(state, {
    type: "job.placed",
    ...options.term,
    job: name,
    attempt: job.attempt + 1,
    worker: room.name,
    leaseMs: options.leaseMs,
    reason,
  }));
}

function round1(value: number): number {
  return Math.round(value * 10) / 10;
}
