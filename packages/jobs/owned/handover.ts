/**
 * Handover of a partition: what an owner stores when it gives the partition up,
 * so that the next owner does not have to wait for unknown runs.
 *
 * @module
 */

import { findStartedTask } from "../accepted/apply_records.ts";
import { isUnanswered } from "../executor_state.ts";
import type { Run, Task } from "../job.ts";
import { suspectStart, unresolvedStarts } from "../run/lost_executors.ts";
import { HANDOVER_KEY } from "../topics.ts";
import type { Handover, HandoverRun } from "./handover_record.ts";
import { longestLeaseMs, type OwnerState } from "./owner_state.ts";

/**
 * Stores the running tasks, and the executors that have not answered since this
 * owner took over. The next owner only waits for these.
 */
export function storeHandover(owner: OwnerState): void {
  if (!owner.isLoaded) return;
  const suspectStarts = unresolvedStarts(owner);
  const handover: Handover = { ...createHandover(owner), suspectStarts };
  owner.progress.put(HANDOVER_KEY, () => JSON.stringify(handover), {
    isLast: true,
  });
}

function createHandover(owner: OwnerState): Handover {
  const runs: HandoverRun[] = [];
  for (const executor of owner.executors.values()) {
    for (const run of executor.runs) {
      runs.push({
        task: run.task.name,
        run: run.number,
        executor: executor.id,
        leaseMs: remainingMs(latestEndMs(owner, run)),
      });
    }
  }
  const unheard = [...owner.unconfirmedExecutors.keys()];
  if (unheard.length === 0) return { runs, unheard, blockedMs: 0 };
  if (owner.inheritedRuns !== undefined) {
    // The previous handover lists all runs on the unconfirmed executors.
    for (const [executor, endsMs] of owner.unconfirmedExecutors) {
      for (const inherited of owner.inheritedRuns.get(executor) ?? []) {
        runs.push({ ...inherited, leaseMs: remainingMs(endsMs) });
      }
    }
    return { runs, unheard: [], blockedMs: 0 };
  }
  // Runs that an earlier handover names may last longer than unknown ones.
  const endsMs = [owner.blockedUntilMs, ...owner.unconfirmedExecutors.values()];
  return { runs, unheard, blockedMs: remainingMs(Math.max(...endsMs)) };
}

/**
 * Returns the monotonic time at which the lease of a run has certainly expired.
 * A start without an answer may have reached a later process of its executor,
 * whose clock makes the lease as long as the platform allows.
 */
function latestEndMs(owner: OwnerState, run: Run): number {
  const { leaseEndsMs } = run.executor;
  if (!isUnanswered(run)) return leaseEndsMs;
  const longestMs = longestLeaseMs(owner.options.maxLeaseMs);
  return Math.max(leaseEndsMs, run.startedAtMs + longestMs);
}

function remainingMs(monotonicMs: number): number {
  return Math.max(0, Math.ceil(monotonicMs - performance.now()));
}

/**
 * Applies the handover of the previous owner. Its running tasks stay blocked
 * until their executors answer or the leases there have expired. If some
 * executors had not answered it, all other tasks stay blocked for as long as it
 * would have waited itself. The stored handover is deleted, since it does not
 * hold for the runs that this owner starts.
 */
export function applyHandover(owner: OwnerState, handover: Handover): void {
  owner.hasStoredHandover = true;
  owner.progress.put(HANDOVER_KEY, () => undefined);
  owner.progress.whenStored(() => {
    owner.hasStoredHandover = false;
    owner.schedulePlacement();
  });
  const { runs, unheard, blockedMs, suspectStarts = [] } = handover;
  const nowMs = performance.now();
  const othersEndMs = unheard.length === 0 ? 0 : nowMs + blockedMs;
  owner.blockedUntilMs = othersEndMs;
  owner.inheritedRuns = unheard.length === 0 ? new Map() : undefined;
  owner.unconfirmedExecutors = new Map(unheard.map((id) => [id, othersEndMs]));
  for (const { task: name, ...start } of suspectStarts) {
    const task = findStartedTask(owner, name);
    if (task !== undefined) suspectStart(owner, task, start);
  }
  const blockedUntil = new Map<Task, number>();
  for (const run of runs) {
    const { executor, leaseMs } = run;
    const endsMs = Math.max(
      nowMs + leaseMs,
      owner.unconfirmedExecutors.get(executor) ?? 0,
    );
    owner.unconfirmedExecutors.set(executor, endsMs);
    addInheritedRun(owner, run);
    const task = findStartedTask(owner, run.task);
    if (task === undefined) continue;
    task.lastRunNumber = Math.max(task.lastRunNumber, run.run);
    blockedUntil.set(task, Math.max(endsMs, blockedUntil.get(task) ?? 0));
  }
  for (const job of owner.jobs.values()) {
    for (const group of job.groups) {
      for (const task of group.tasks) {
        task.blockedUntilMs = blockedUntil.get(task) ?? othersEndMs;
      }
    }
  }
}

function addInheritedRun(owner: OwnerState, run: HandoverRun): void {
  const { inheritedRuns } = owner;
  if (inheritedRuns === undefined) return;
  const runs = inheritedRuns.get(run.executor);
  if (runs === undefined) inheritedRuns.set(run.executor, [run]);
  else runs.push(run);
}
