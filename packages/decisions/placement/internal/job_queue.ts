import type { ObjectSet } from "@lagoonloom/objects";
import type { FleetState } from "../../fold/fleet_state.ts";
import type { JobSize, JobState } from "../../fold/job_state.ts";
import { knownSize } from "../job_size.ts";
import { findPlacementBlocker } from "../find_placement_blocker.ts";
import type { JobRound } from "./job_round.ts";
import { workersOf } from "./set_workers.ts";

/** Classes in the order in which they are served. */
export const URGENCIES = ["urgent", "normal", "deferrable"] as const;

/** Class of a job. */
export type Urgency = (typeof URGENCIES)[number];

/**
 * Time in milliseconds after which the next data centre may place a job that
 * the earlier ones have no room for. The data centres take turns, since two
 * that place the same job at once waste an append.
 */
const SCOPE_TURN_MS = { urgent: 200, normal: 1_000, deferrable: 1_000 };

/** Job that waits for a worker. */
export type QueuedJob = { name: string; job: JobState };

/** Waiting jobs by class and team, the oldest first. */
export type JobQueue = Record<Urgency, Map<string, QueuedJob[]>>;

/** Collects the queued jobs that it is this scope's turn to place. */
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
    const rank = turnOf(state, { name, job, scope: options.term.scope });
    if (rank === undefined) continue;
    const waitedMs = options.nowMs - job.sinceMs;
    if (waitedMs < rank * SCOPE_TURN_MS[job.urgency]) continue;
    const reason = getCachedBlocker(state, job);
    if (reason !== undefined) {
      if (rank === 0) blocked.set(name, reason);
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

/** Returns why a job can't run, which only depends on the set and its size. */
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
 * Returns the place of a scope in the order in which a job's data centres try
 * to place it, or undefined if the job must not run there. A job whose data
 * centres have no workers belongs to every scope, so that it is reported.
 */
function turnOf(
  state: FleetState,
  { name, job, scope }: QueuedJob & { scope: string },
): number | undefined {
  const { scopes } = workersOf(state.set);
  const allowed = job.dataCentres.length === 0
    ? scopes
    : job.dataCentres.filter((it) => scopes.includes(it));
  const turns = allowed.length > 0 ? allowed : scopes;
  const at = turns.indexOf(scope);
  if (at < 0) return undefined;
  let hash = nameHashes.get(job);
  if (hash === undefined) {
    hash = hashName(name);
    nameHashes.set(job, hash);
  }
  return (at - hash % turns.length + turns.length) % turns.length;
}

function hashName(name: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < name.length; at++) {
    hash = Math.imul(hash ^ name.charCodeAt(at), 0x01000193) >>> 0;
  }
  return hash;
}
