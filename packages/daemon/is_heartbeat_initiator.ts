import type { FleetState } from "@lagoonloom/decisions";

/**
 * Returns whether the other entry host of a pair initiates the heartbeats, so
 * that this one only answers. A member initiates the heartbeats to its watcher,
 * since only the answers carry the watcher's promise not to report the member
 * as lost yet. If neither of the pair, or each, is the watcher of the other,
 * the one whose name sorts first initiates. While each watches the other, both
 * send heartbeats, since both need answers.
 *
 * @example
 * ```ts
 * const pair = { self: "detroit-2", other: "detroit-1" };
 * const isPeerInitiator = isHeartbeatInitiator(pair, state);
 * ```
 */
export function isHeartbeatInitiator(
  pair: { self: string; other: string },
  state: Pick<FleetState, "members">,
): boolean {
  const { self, other } = pair;
  const isWatcher = state.members.get(other)?.watcher === self;
  const isWatched = state.members.get(self)?.watcher === other;
  return isWatcher === isWatched ? other < self : isWatcher;
}
