/**
 * Queue of the jobs that wait for a worker.
 *
 * @module
 */

import type { ObjectSet } from "@lagoonloom/objects";
import type { FleetState } from "../../fold/fleet_state.ts";
import type { JobSize, JobState } from "../../fold/job_state.ts";
import { findPlacementBlocker } from "../find_placement_blocker.ts";
import { knownSize } from "../job_size.ts";
import type { JobRound } from "./job_round.ts";
import { workersOf } from "./set_workers.ts";

/** Urgency classes in the order in which their jobs are placed. */
export const URGENCIES = ["urgent", "normal", "deferrable"] as const;

/** Urgency class of a job. */
export type Urgency = (typeof URGENCIES)[number];

/**
 * Time in milliseconds that each data centre has for placing a queued job
 * before the next one may try too. They take turns, since of two placements of
 * a job at once one is refused, so that its append is wasted.
 */
const SCOPE_TURN_MS = { urgent: 200, normal: 1_000, deferrable: 1_000 };

/** Queued job with its name. */
export type QueuedJob = { name: string; job: JobState };

/** Queued jobs by urgency and team, the oldest submission first. */
export type JobQueue = Record<Urgency, Map<string, QueuedJob[]>>;

/**
 * Collects the queued jobs that it is this data centre's turn to place. Jobs
 * that no worker can run go into `blocked` with the reason instead.
 */
export function collectQueue(
  round: JobRound,
  blocked: Map<string, string>,
): JobQueue {
  const { state, options, pending } = round;
  const queue: JobQueue = {
    urgent: new Map(),
    normal: new Map(),
    deferrable: new Map(),
  };
  for (const [name, job] of state.jobs) {
    if (job.state !== "queued" || pending.has(name)) continue;
    const turn = turnOf(state, { name, job, scope: options.term.scope });
    if (turn === undefined) continue;
    const waitedMs = options.nowMs - job.sinceMs;
    if (waitedMs < turn * SCOPE_TURN_MS[job.urgency]) continue;
    const reason = getCachedBlocker(state, job);
    if (reason !== undefined) {
      if (turn === 0) blocked.set(name, reason);
      continue;
    }
    const teams = queue[job.urgency];
    const waiting = teams.get(job.team);
    if (waiting === undefined) teams.set(job.team, [{ name, job }]);
    else waiting.push({ name, job });
  }
  for (const urgency of URGENCIES) {
    for (const waiting of queue[urgency].values()) sortBySubmission(waiting);
  }
  return queue;
}

type CachedBlocker = { set: ObjectSet; reason: string | undefined };

const blockerCache = new WeakMap<JobSize, CachedBlocker>();

/**
 * Returns why no worker can run a job. The result is cached, since it depends
 * only on the set and on the job's size, data centres and team.
 */
function getCachedBlocker(
  state: FleetState,
  job: JobState,
): string | undefined {
  const size = knownSize(job);
  const found = blockerCache.get(size);
  if (found?.set === state.set) return found.reason;
  const reason = findPlacementBlocker(state, job);
  blockerCache.set(size, { set: state.set, reason });
  return reason;
}

function sortBySubmission(waiting: QueuedJob[]): void {
  const isSorted = waiting.every(({ job }, index) =>
    index === 0 || waiting[index - 1]!.job.submittedAtMs <= job.submittedAtMs
  );
  if (isSorted) return;
  waiting.sort((a, b) => a.job.submittedAtMs - b.job.submittedAtMs);
}

const nameHashes = new WeakMap<JobState, number>();

/**
 * Returns the position of a data centre in the order in which they try to place
 * a job, or undefined if the job must not run there. The order starts at a hash
 * of the job's name. A job whose data centres have no workers is given to all
 * of them, so that it is reported as blocked.
 */
function turnOf(
  state: FleetState,
  { name, job, scope }: QueuedJob & { scope: string },
): number | undefined {
  const { scopes } = workersOf(state.set);
  const allowed = job.dataCentres.length === 0
    ? scopes
    : job.dataCentres.filter((it) => scopes.includes(it));
  const order = allowed.length > 0 ? allowed : scopes;
  const index = order.indexOf(scope);
  if (index < 0) return undefined;
  let hash = nameHashes.get(job);
  if (hash === undefined) {
    hash = hashName(name);
    nameHashes.set(job, hash);
  }
  return (index - hash % order.length + order.length) % order.length;
}

/** Computes the 32-bit FNV-1a hash of a name. */
function hashName(name: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < name.length; at++) {
    hash = Math.imul(hash ^ name.charCodeAt(at), 0x01000193) >>> 0;
  }
  return hash;
}
