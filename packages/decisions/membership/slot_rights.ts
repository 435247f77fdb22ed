/**
 * Decides whether an entry host may use its slots, and holds the timeouts that
 * keep two entry hosts from using the same slot.
 *
 * @module
 */

/**
 * Time in milliseconds after the last contact with the log or a watcher at
 * which an entry host stops using its slots. It is shorter than
 * {@linkcode LOSS_TIMEOUT_MS}, so that the right that a promise gives has
 * expired when the watcher reports a loss.
 */
export const FENCING_TIMEOUT_MS = 2_000;

/**
 * Time in milliseconds without a heartbeat after which a watcher reports a
 * member as lost.
 */
export const LOSS_TIMEOUT_MS = 3_000;

/** Longest time in milliseconds that a request runs on an executor. */
export const MAX_REQUEST_RUN_TIME_MS = 10_000;

/**
 * Last contacts with an entry host that may report the loss of this one. The
 * times are those at which the heartbeat was sent, since the process may have
 * been paused between the arrival of an answer and its handling.
 */
export type WatcherContact = {
  /**
   * Monotonic time of the last heartbeat that the watcher answered with a
   * promise not to report this entry host as lost for
   * {@linkcode LOSS_TIMEOUT_MS}.
   */
  promisedAtMs: number | undefined;
  /** Monotonic time of the last heartbeat whose connection was refused. */
  refusedAtMs: number | undefined;
};

/** State from which {@linkcode hasSlotRights} decides. */
export type SlotRightsState = {
  /** Whether the folded records list this incarnation as a member. */
  isMember: boolean;
  /** Monotonic time up to which the log was read, directly or by a peer. */
  logReadAtMs: number | undefined;
  /** Contacts with every entry host that may report the loss of this one. */
  watchers: readonly WatcherContact[];
};

/**
 * Returns whether this entry host may use its slots.
 *
 * It may while no other entry host can have reported its loss without its
 * knowledge: it has read the log recently, or each watcher has recently
 * promised not to report it or refused the connection. Without a watcher, no
 * entry host may report it.
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
  return timeMs !== undefined && nowMs - timeMs < FENCING_TIMEOUT_MS;
}
