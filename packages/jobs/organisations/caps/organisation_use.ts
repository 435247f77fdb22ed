/**
 * What the tasks of each organisation use at the executors of a partition, and
 * what of them waits.
 *
 * @module
 */

import { findStep } from "../../accepted/apply_records.ts";
import {
  freeCapacityOf,
  isSchedulable,
  occupiedBy,
} from "../../executor_state.ts";
import { hasEnded, isPlaceable, type TaskGroup } from "../../job.ts";
import { isGroupReady } from "../../occurrences.ts";
import type { OwnerState } from "../../owned/owner_state.ts";
import { openLateStarts } from "../../run/late_starts.ts";
import type { Size } from "../../submission.ts";
import {
  countFitting,
  isNothing,
  largerOf,
  NOTHING,
  plus,
  roundUp,
} from "./_amounts.ts";
import type { CapUse } from "./cap_ledger.ts";

/** Least number of waiting tasks for which a share of the cap is asked. */
const MIN_TASKS_ASKED_FOR = 8;

/** What may be running of each organisation. */
export type RunningUse = {
  /** By organisation. */
  known: Map<string, Size>;
  /** Of runs of unknown jobs, which may be those of any organisation. */
  unknown: Size;
};

/**
 * Counts what may be running: runs in any state, also those that are being
 * stopped or whose start has no answer; runs that an executor lists and the
 * owner has not adopted; tasks that an earlier owner may have started on an
 * executor that has not answered yet; and starts that were given up and may
 * still be carried out. Filling tasks count with all that they ask for.
 */
export function countMayRun(owner: OwnerState): RunningUse {
  const known = new Map<string, Size>();
  let unknown = NOTHING;
  // Called for each run in each round of placement, so that it creates nothing.
  const add = (organisation: string | undefined, size: Size) => {
    if (organisation === undefined) return;
    let sum = known.get(organisation);
    if (sum === undefined) {
      sum = { ...NOTHING };
      known.set(organisation, sum);
    }
    sum.cpu += size.cpu;
    sum.memoryMb += size.memoryMb;
    sum.accelerators += size.accelerators;
  };
  const addNamed = (name: string): boolean => {
    const step = findStep(owner, name);
    if (step === undefined) return false;
    add(organisationOf(owner, name), step.size);
    return true;
  };
  for (const executor of owner.executors.values()) {
    for (const { task: { group } } of executor.runs) {
      add(group.job.accepted.organisation, group.step.size);
    }
    for (const key of executor.untrackedRuns.keys()) {
      const isKnown = addNamed(key.slice(0, key.lastIndexOf("/")));
      if (isKnown) continue;
      const { report: { capacity }, occupied } = executor;
      unknown = plus(unknown, largerOf(plus(capacity, occupied, -1), NOTHING));
    }
  }
  for (const { task } of openLateStarts(owner)) addNamed(task);
  for (const { job, step } of blockedTasks(owner)) {
    add(job.accepted.organisation, step.size);
  }
  return { known, unknown };
}

function organisationOf(owner: OwnerState, task: string): string | undefined {
  const [id = ""] = task.split(".", 1);
  return owner.jobs.get(id)?.accepted.organisation;
}

/** Returns the groups of tasks that a run of an earlier owner may block. */
function* blockedTasks(owner: OwnerState): Generator<TaskGroup> {
  if (owner.unconfirmedExecutors.size === 0) return;
  const nowMs = Math.min(performance.now(), owner.options.undisputedAtMs());
  for (const { groups } of owner.jobs.values()) {
    for (const group of groups) {
      for (const { isDone, runs, blockedUntilMs } of group.tasks) {
        if (!isDone && runs.length === 0 && blockedUntilMs > nowMs) yield group;
      }
    }
  }
}

/** What waits of one organisation. */
export type WaitingUse = Pick<CapUse, "waiting" | "unit" | "waitedMs">;

/**
 * Returns what waits of each organisation with a cap, as far as its services
 * have room for it, but some tasks at least: room may become free at any time.
 */
export function countWaiting(owner: OwnerState): Map<string, WaitingUse> {
  const uses = new Map<string, WaitingUse & { count: number }>();
  const rooms = new Map<string, Size>();
  const nowMs = performance.now();
  for (const job of owner.jobs.values()) {
    const { organisation, service } = job.accepted;
    if (organisation === undefined || hasEnded(job)) continue;
    const cap = owner.caps.capOf(organisation);
    if (cap === undefined) continue;
    const roomKey = JSON.stringify([organisation, service]);
    for (const group of job.groups) {
      const waiting = findWaiting(owner, group, nowMs);
      if (waiting === undefined) continue;
      const { unit, units, waitedMs } = waiting;
      if (group.step.isGang && countFitting(unit, cap) === 0) continue;
      const use = uses.get(organisation) ?? NO_USE;
      const room = rooms.get(roomKey) ?? freeCapacityOfService(owner, service);
      const occupied = occupiedBy(group);
      const fitting = Math.min(
        units,
        Math.max(MIN_TASKS_ASKED_FOR - use.count, countFitting(occupied, room)),
      );
      if (fitting <= 0) continue;
      rooms.set(roomKey, plus(room, occupied, -fitting));
      const isLongest = isNothing(use.unit) || waitedMs > use.waitedMs;
      uses.set(organisation, {
        count: use.count + fitting,
        waiting: plus(use.waiting, unit, fitting),
        unit: isLongest ? unit : use.unit,
        waitedMs: Math.max(waitedMs, use.waitedMs),
      });
    }
  }
  return uses;
}

const NO_USE = { count: 0, waiting: NOTHING, unit: NOTHING, waitedMs: 0 };

/** Finds the tasks of a group that wait; a gang is one unit. */
function findWaiting(
  owner: OwnerState,
  group: TaskGroup,
  nowMs: number,
): { unit: Size; units: number; waitedMs: number } | undefined {
  const { step, tasks, doneCount } = group;
  if (doneCount >= tasks.length || !isGroupReady(group)) return undefined;
  const times = {
    monotonicMs: nowMs,
    undisputedMs: owner.options.undisputedAtMs(),
  };
  let count = 0;
  let sinceMs = nowMs;
  for (const task of tasks) {
    if (!isPlaceable(task, times)) continue;
    count++;
    sinceMs = Math.min(sinceMs, task.waitingSinceMs);
  }
  if (count === 0 || (step.isGang && count < tasks.length)) return undefined;
  const size = roundUp(step.size);
  return {
    unit: step.isGang ? plus(NOTHING, size, count) : size,
    units: step.isGang ? 1 : count,
    waitedMs: Math.round(nowMs - sinceMs),
  };
}

function freeCapacityOfService(owner: OwnerState, service: string): Size {
  let free = NOTHING;
  const nowMs = performance.now();
  for (const executor of owner.executors.values()) {
    if (executor.report.service !== service) continue;
    if (!isSchedulable(executor, nowMs)) continue;
    free = plus(free, largerOf(freeCapacityOf(executor), NOTHING));
  }
  return free;
}
