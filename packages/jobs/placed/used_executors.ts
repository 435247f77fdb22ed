/**
 * Record of the executors that may run tasks of a partition. After a takeover,
 * the next owner waits for these, also if the platform's list shows them no
 * more.
 *
 * @module
 */

import type { ExecutorState } from "../executor_state.ts";
import type { UsedExecutor } from "../model.ts";
import type { OwnerState } from "../owned/owner_state.ts";
import { USED_EXECUTORS_KEY } from "../topics.ts";

/** Time after which executors without a stored record get no tasks. */
const MAX_RECORDING_MS = 100;

/** Returns the records of executors that earlier owners have stored. */
export function restoreUsedExecutors(
  ids: readonly string[],
): Map<string, UsedExecutor> {
  const recordedAtMs = performance.now();
  return new Map(ids.map((id) => [id, { isStored: true, recordedAtMs }]));
}

/** Returns whether the next owner will know that an executor was used. */
export function isUseStored(owner: OwnerState, id: string): boolean {
  return owner.usedExecutors.get(id)?.isStored === true;
}

/** Stores that an executor may run tasks, for the next owners. */
export function recordUsedExecutor(owner: OwnerState, id: string): void {
  if (owner.usedExecutors.has(id)) return;
  const entry = { isStored: false, recordedAtMs: performance.now() };
  owner.usedExecutors.set(id, entry);
  saveUsedExecutors(owner);
  owner.progress.whenStored(() => {
    entry.isStored = true;
    owner.schedulePlacement();
  });
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
  owner.progress.put(
    USED_EXECUTORS_KEY,
    () => JSON.stringify([...owner.usedExecutors.keys()]),
    { isUrgent: true, isLast: true },
  );
}
