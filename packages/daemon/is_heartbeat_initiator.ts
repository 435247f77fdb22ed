import type { FleetState } from "@lagoonloom/decisions";

/**
 * Returns whether the other entry host of a pair starts the heartbeats. Only
 * answers carry a watcher's promise, so that a member always sends heartbeats
 * to its watcher and starts them for the pair; otherwise the lesser name does.
 * Both start while each is the other's watcher.
 *
 * @example
 * ```ts
 * const pair = { self: "detroit-2", other: "detroit-1" };
 * const isQuiet = isStarterOf(pair, state);
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
