import type { FleetState } from "../fold/fleet_state.ts";
import type { DeciderTerm } from "./planned_record.ts";

/** Process that may hold the role. */
export type DeciderIdentity = { holder: string; incarnation: string };

/** Options of {@linkcode getActiveTerm}. */
export type ActiveTermOptions = DeciderIdentity & {
  scope: string;
  /** Log time now, estimated from the last folded record, in milliseconds. */
  nowMs: number;
};

/**
 * Time in milliseconds before the end of a lease at which its holder stops to
 * decide. An append takes up to this long; a later one would be refused.
 */
export const LEASE_MARGIN_MS = 2_000;

/**
 * Returns the term under which a process may decide now, or undefined. A
 * process asks before each append: after a pause beyond its lease it appends
 * nothing and starts no reboot. Records that it sent before are fenced by the
 * fold.
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
