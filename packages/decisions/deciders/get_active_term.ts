/**
 * Checks whether a process holds the lease of a decider.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import type { DeciderTerm } from "./planned_record.ts";

/** Process that may be a decider: its member name and incarnation. */
export type DeciderIdentity = { holder: string; incarnation: string };

/** Options of {@linkcode getActiveTerm}. */
export type ActiveTermOptions = DeciderIdentity & {
  /** Data centre for which the decider plans. */
  scope: string;
  /** Log time now, estimated from the last folded record, in milliseconds. */
  nowMs: number;
};

/**
 * Time in milliseconds before the end of a lease at which its holder stops
 * planning. An append takes up to this long, and the fold rejects records that
 * arrive after the lease has ended.
 */
export const LEASE_MARGIN_MS = 2_000;

/**
 * Returns the term under which a process may append records now, or undefined
 * if it doesn't hold the lease or the lease is about to end.
 *
 * Call it before each append and each reboot, so that a process that was paused
 * beyond its lease does neither. Records that it sent before the pause and that
 * arrive too late are rejected by their epoch when they are folded.
 *
 * @example
 * ```ts
 * const term = getActiveTerm(state, { scope, holder, incarnation, nowMs });
 * ```
 */
export function getActiveTerm(
  state: FleetState,
  { scope, holder, incarnation, nowMs }: ActiveTermOptions,
): DeciderTerm | undefined {
  const decider = state.deciders.get(scope);
  if (decider?.holder !== holder || decider.incarnation !== incarnation) {
    return undefined;
  }
  if (nowMs >= decider.leaseEndMs - LEASE_MARGIN_MS) return undefined;
  return { scope, epoch: decider.epoch };
}
