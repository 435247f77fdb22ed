/** Time in milliseconds for which one contact gives the right to use slots. */
export const FENCE_MS = 2_000;

/** Time in milliseconds without a heartbeat after which a loss is reported. */
export const LOSS_MS = 3_000;

/** Longest run time of a request on an executor in milliseconds. */
export const LONGEST_REQUEST_MS = 10_000;

/**
 * Contact with an entry host that may report the loss of this one. Times are
 * those at which the heartbeat was sent, since the process may have been paused
 * between the answer's arrival and its handling.
 */
export type WatcherContact = {
  /** Monotonic time of the last heartbeat that was answered with a promise. */
  promisedAtMs: number | undefined;
  /** Monotonic time of the last heartbeat whose connection was refused. */
  refusedAtMs: number | undefined;
};

/** What the right to use slots depends on. */
export type SlotRightsState = {
  /** Whether the log knows the own incarnation as a member. */
  isMember: boolean;
  /** Monotonic time up to which the log was read, directly or by a peer. */
  logReadAtMs: number | undefined;
  /** Every entry host that may report the loss of this one. */
  watchers: readonly WatcherContact[];
};

/**
 * Returns whether this entry host may use its slots: its loss cannot have been
 * reported unnoticed. Without a watcher nobody may report it.
 *
 * @example
 * ```ts
 * if (hasSlotRights(state, performance.now())) send(request);
 * ```
 */
export function hasSlotRights(state: SlotRightsState, nowMs: number): boolean {
  if (!state.isMember) return false;
  if (isRecent(state.logReadAtMs, nowMs)) return true;
  return state.watchers.every((watcher) =>
    isRecent(watcher.promisedAtMs, nowMs) ||
    isRecent(watcher.refusedAtMs, nowMs)
  );
}

function isRecent(timeMs: number | undefined, nowMs: number): boolean {
  return timeMs !== undefined && nowMs - timeMs < FENCE_MS;
}
