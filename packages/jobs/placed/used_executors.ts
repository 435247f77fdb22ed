/**
 * Record of the executors that may run tasks of a partition. After a takeover,
 * the next owner waits for these, also if the platform's list shows them no
 * more.
 *
 * @module
 */

import { z } from "zod";
import type { ExecutorState } from "../executor_state.ts";
import type { ExecutorReport } from "../fleet.ts";
import type { UsedExecutor } from "../model.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { EXECUTOR_STARTS_KEY, USED_EXECUTORS_KEY } from "../topics.ts";

/** Time after which executors without a stored record get no tasks. */
const MAX_RECORDING_MS = 100;

/** Schema of the stored start times of executors, by id. */
const ExecutorStarts = z.record(z.string(), z.number());

/**
 * Returns the records of executors that earlier owners have stored.
 * `startsDocument` is the value of their start times, if there is one.
 */
export function restoreUsedExecutors(
  ids: readonly string[],
  startsDocument: unknown,
): Map<string, UsedExecutor> {
  const starts = ExecutorStarts.safeParse(startsDocument).data ?? {};
  const recordedAtMs = performance.now();
  return new Map(ids.map((id) => {
    const startedAtMs = Object.hasOwn(starts, id) ? starts[id] : undefined;
    return [id, { isStored: true, recordedAtMs, startedAtMs }];
  }));
}

/**
 * Returns whether all leases that an executor may hold were granted by the
 * clock of the process that the platform's list shows, if it shows one.
 */
export function hasOneProcess(
  { startedAtMs }: UsedExecutor,
  report: ExecutorReport | undefined,
): boolean {
  return startedAtMs !== undefined &&
    (report === undefined || report.startedAtMs === startedAtMs);
}

/** Returns whether the next owner will know that an executor was used. */
export function isUseStored(owner: OwnerState, id: string): boolean {
  return owner.usedExecutors.get(id)?.isStored === true;
}

/** Stores that an executor may run tasks, for the next owners. */
export function recordUsedExecutor(owner: OwnerState, id: string): void {
  if (owner.usedExecutors.has(id)) return;
  const entry: UsedExecutor = {
    isStored: false,
    recordedAtMs: performance.now(),
    startedAtMs: owner.lateGrants.has(id)
      ? undefined
      : owner.executors.get(id)?.report.startedAtMs,
  };
  owner.usedExecutors.set(id, entry);
  saveUsedExecutors(owner);
  owner.progress.whenStored(() => {
    entry.isStored = true;
    owner.schedulePlacement();
  });
}

/** Notes that a used executor has restarted, for the next owners. */
export function recordUsedRestart(owner: OwnerState, id: string): void {
  const entry = owner.usedExecutors.get(id);
  if (entry?.startedAtMs === undefined) return;
  entry.startedAtMs = undefined;
  saveUsedExecutors(owner);
}

/**
 * Notes for the next owners which used executors hold no leases any more that
 * another process or an earlier owner may have caused.
 */
export function recordKnownStarts(owner: OwnerState): void {
  const nowMs = performance.now();
  let hasChanged = false;
  for (const [id, entry] of owner.usedExecutors) {
    if (entry.startedAtMs !== undefined) continue;
    const executor = owner.executors.get(id);
    if (executor === undefined || executor.isRemoved) continue;
    if (nowMs < executor.foreignUntilMs) continue;
    entry.startedAtMs = executor.report.startedAtMs;
    hasChanged = true;
  }
  if (hasChanged) saveUsedExecutors(owner);
}

/** Removes the records of executors that can't run anything any more. */
export function forgetUsedExecutors(
  owner: OwnerState,
  ids: readonly string[],
): void {
  const known = ids.filter((id) => owner.usedExecutors.delete(id));
  if (known.length > 0) saveUsedExecutors(owner);
}

/**
 * Returns the executors that may get tasks. While the store does not answer,
 * these are only the recorded ones, so that no task waits for another one.
 */
export function usableExecutors(owner: OwnerState): ExecutorState[] {
  const executors = [...owner.executors.values()];
  const nowMs = performance.now();
  const isDelayed = [...owner.usedExecutors.values()].some((entry) =>
    !entry.isStored && nowMs - entry.recordedAtMs > MAX_RECORDING_MS
  );
  return isDelayed
    ? executors.filter(({ id }) => isUseStored(owner, id))
    : executors;
}

function saveUsedExecutors(owner: OwnerState): void {
  const { progress, usedExecutors } = owner;
  const options = { isUrgent: true, isLast: true };
  progress.put(EXECUTOR_STARTS_KEY, () => {
    const starts = [...usedExecutors].map(([id, it]) => [id, it.startedAtMs]);
    return JSON.stringify(Object.fromEntries(starts));
  }, options);
  progress.put(
    USED_EXECUTORS_KEY,
    () => JSON.stringify([...usedExecutors.keys()]),
    options,
  );
}
