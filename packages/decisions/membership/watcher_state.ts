/**
 * Failure detector of a watcher: records heartbeats and finds members to report
 * as lost.
 *
 * @module
 */

import { LOSS_TIMEOUT_MS } from "./slot_rights.ts";

/**
 * Longest interval in milliseconds between two calls of {@linkcode findLosses}.
 * After a longer one, this process was paused or overloaded, and received
 * heartbeats may not have been read yet.
 */
const MAX_CHECK_GAP_MS = 1_000;

/** Name and incarnation of a member that another one watches. */
export type WatchedMember = { name: string; incarnation: string };

/** State of an entry host as the watcher of other members. */
export type WatcherState = {
  /**
   * Monotonic time of the last heartbeat by the key `name incarnation`, or of
   * the first check of a member that has not sent one since.
   */
  lastHeartbeatAtMs: Map<string, number>;
  /** Keys of members whose report as lost has no known outcome yet. */
  pendingReports: Set<string>;
  /** Monotonic time of the last call of {@linkcode findLosses}. */
  lastCheckAtMs: number | undefined;
};

/**
 * Creates the state of a watcher that has received no heartbeats.
 *
 * @example
 * ```ts
 * const watcher = createWatcherState();
 * ```
 */
export function createWatcherState(): WatcherState {
  return {
    lastHeartbeatAtMs: new Map(),
    pendingReports: new Set(),
    lastCheckAtMs: undefined,
  };
}

/**
 * Records a heartbeat and returns the time in milliseconds for which this
 * watcher promises not to report the sender as lost. Returns 0 while a report
 * of the sender may still take effect.
 *
 * @example
 * ```ts
 * const promiseMs = noteHeartbeat(watcher, sender, performance.now());
 * ```
 */
export function noteHeartbeat(
  watcher: WatcherState,
  sender: WatchedMember,
  nowMs: number,
): number {
  const key = keyOf(sender);
  watcher.lastHeartbeatAtMs.set(key, nowMs);
  return watcher.pendingReports.has(key) ? 0 : LOSS_TIMEOUT_MS;
}

/**
 * Returns the watched members to report as lost, and marks their reports as
 * pending. The timeout of a member starts again at its first check and whenever
 * this process was paused.
 *
 * @example
 * ```ts
 * for (const lost of findLosses(watcher, watched, performance.now())) {
 *   report(lost);
 * }
 * ```
 */
export function findLosses(
  watcher: WatcherState,
  watched: readonly WatchedMember[],
  nowMs: number,
): WatchedMember[] {
  const gapMs = nowMs - (watcher.lastCheckAtMs ?? nowMs);
  watcher.lastCheckAtMs = nowMs;
  if (gapMs > MAX_CHECK_GAP_MS) watcher.lastHeartbeatAtMs.clear();
  const lost: WatchedMember[] = [];
  for (const member of watched) {
    const key = keyOf(member);
    const heartbeatAtMs = watcher.lastHeartbeatAtMs.get(key);
    if (heartbeatAtMs === undefined) watcher.lastHeartbeatAtMs.set(key, nowMs);
    if (watcher.pendingReports.has(key)) continue;
    if (
      heartbeatAtMs === undefined || nowMs - heartbeatAtMs < LOSS_TIMEOUT_MS
    ) {
      continue;
    }
    watcher.pendingReports.add(key);
    lost.push(member);
  }
  return lost;
}

/**
 * Removes a pending report that has not taken effect and no longer can. The
 * member may be reported again.
 *
 * @example
 * ```ts
 * withdrawReport(watcher, member);
 * ```
 */
export function withdrawReport(
  watcher: WatcherState,
  member: WatchedMember,
): void {
  watcher.pendingReports.delete(keyOf(member));
}

/**
 * Removes the state of all incarnations but those of the current members.
 *
 * @example
 * ```ts
 * retainMembers(watcher, [...state.members.values()]);
 * ```
 */
export function retainMembers(
  watcher: WatcherState,
  members: readonly WatchedMember[],
): void {
  const current = new Set(members.map(keyOf));
  for (const key of watcher.lastHeartbeatAtMs.keys()) {
    if (!current.has(key)) watcher.lastHeartbeatAtMs.delete(key);
  }
  for (const key of watcher.pendingReports) {
    if (!current.has(key)) watcher.pendingReports.delete(key);
  }
}

function keyOf({ name, incarnation }: WatchedMember): string {
  return `${name} ${incarnation}`;
}
