/**
 * Folds claims of the decider's lease, and checks other records against it.
 *
 * @module
 */

import type { ControlRecordOf, LogRecord } from "@lagoonloom/records";
import type { FleetState } from "../fleet_state.ts";
import type { RecordOutcome } from "../recent_outcome.ts";
import { APPLIED, refuse } from "./outcomes.ts";

type DeciderClaimed = ControlRecordOf<"decider.claimed">;

/**
 * Folds a claim of a decider's lease, which is a renewal by the holder or,
 * after the lease has ended, the start of the next epoch.
 */
export function foldDeciderClaimed(
  state: FleetState,
  record: DeciderClaimed,
  log: LogRecord,
): RecordOutcome {
  const { scope, holder, incarnation, epoch } = record;
  if (state.members.get(holder)?.incarnation !== incarnation) {
    return refuse(`"${holder}" is not a member with this incarnation.`);
  }
  const current = state.deciders.get(scope);
  const isHeld = current !== undefined && log.timeMs < current.leaseEndMs;
  // A renewal keeps the epoch, so that records of the holder that are on their
  // way to the log stay valid.
  const isRenewal = isHeld && current.holder === holder &&
    current.incarnation === incarnation && current.epoch === epoch;
  if (!isRenewal) {
    if (isHeld) return refuse(`"${current.holder}" decides for "${scope}".`);
    const expected = (current?.epoch ?? 0) + 1;
    if (epoch !== expected) {
      return refuse(`Expected epoch ${expected} of "${scope}".`);
    }
  }
  const leaseEndMs = log.timeMs + record.leaseMs;
  state.deciders.set(scope, { holder, incarnation, epoch, leaseEndMs });
  return APPLIED;
}

/**
 * Returns why a record of a decider is refused, or undefined if its epoch is
 * current and the lease has not ended.
 */
export function checkTerm(
  state: FleetState,
  term: { scope: string; epoch: number },
  timeMs: number,
): string | undefined {
  const decider = state.deciders.get(term.scope);
  if (decider === undefined) return `"${term.scope}" has no decider.`;
  if (decider.epoch !== term.epoch) {
    return `Epoch ${term.epoch} of "${term.scope}" is not current; ${decider.epoch} is.`;
  }
  if (timeMs < decider.leaseEndMs) return undefined;
  return `The lease of epoch ${term.epoch} of "${term.scope}" has expired.`;
}
