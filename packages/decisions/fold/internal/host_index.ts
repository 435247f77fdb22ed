/**
 * Maintains the parts of the state that are derived from the owners and moves
 * of hosts.
 *
 * @module
 */

import type { FleetState, HostState, Move } from "../fleet_state.ts";

/** Adds a host to the hosts of the pool that owns it. */
export function indexHost(
  state: FleetState,
  name: string,
  pool: string,
): void {
  const hosts = state.hostsByPool.get(pool);
  if (hosts === undefined) state.hostsByPool.set(pool, new Set([name]));
  else hosts.add(name);
}

/** Sets the move of a host, or ends it with `undefined`. */
export function setMove(
  state: FleetState,
  host: HostState,
  move: Move | undefined,
): void {
  if (host.move !== undefined) addIncoming(state, host.move.to, -1);
  host.move = move;
  if (move !== undefined) addIncoming(state, move.to, 1);
}

/** Adds to the number of open moves to a pool. */
export function addIncoming(
  state: FleetState,
  pool: string,
  delta: number,
): void {
  const count = (state.incomingByPool.get(pool) ?? 0) + delta;
  if (count === 0) state.incomingByPool.delete(pool);
  else state.incomingByPool.set(pool, count);
}
