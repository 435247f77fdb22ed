/**
 * Tracks until when an earlier decider may have renewed leases.
 *
 * @module
 */

import type { Decider, FleetState } from "../../fold/fleet_state.ts";
import type {
  AdvanceJobsOptions,
  JobControlOptions,
} from "../job_control_options.ts";
import { OFFLINE_RENEWAL_MS } from "../task_lease.ts";

/** Time in milliseconds within which a member that is lost stops acting. */
const FENCING_MS = 2_000;

/**
 * Tracks the deciders of a data centre. An earlier one may still renew leases
 * of tasks, which delays when this decider may regard a lease as ended.
 */
export type TermTracker = {
  /** Reads the current decider from the folded state. */
  update(state: FleetState, options: AdvanceJobsOptions): void;
  /**
   * Returns the log times at which the current term was first seen and until
   * which an earlier decider may renew leases.
   */
  leaseBounds(): { termSinceMs: number; othersRenewUntilMs: number };
};

/**
 * Creates a tracker of the deciders of a data centre. An earlier decider that
 * can't read the log may renew leases for {@linkcode OFFLINE_RENEWAL_MS} after
 * its own lease, unless it left, was declared lost or has folded the newer
 * term.
 */
export function createTermTracker(options: JobControlOptions): TermTracker {
  const { scope, holder } = options;
  let current: Decider | undefined;
  let earlier: Decider | undefined;
  let claimOffset = 0;
  let termSinceMs = 0;
  let othersRenewUntilMs = 0;
  return {
    update(state, { nowMs, hasFolded }) {
      const decider = state.deciders.get(scope);
      if (decider === undefined) return;
      if (decider.epoch !== current?.epoch) {
        const isFirst = current === undefined && decider.epoch === 1;
        const isOwn = current?.holder === holder;
        earlier = isOwn ? undefined : current;
        othersRenewUntilMs = isFirst || isOwn
          ? othersRenewUntilMs
          : (current?.leaseEndMs ?? nowMs) + OFFLINE_RENEWAL_MS;
        claimOffset = state.nextOffset;
        termSinceMs = nowMs;
      }
      current = { ...decider };
      if (earlier === undefined || othersRenewUntilMs <= nowMs + FENCING_MS) {
        return;
      }
      const isGone = state.members.get(earlier.holder)?.incarnation !==
        earlier.incarnation;
      if (!isGone && hasFolded?.(earlier.holder, claimOffset) !== true) return;
      othersRenewUntilMs = nowMs + FENCING_MS;
      earlier = undefined;
    },
    leaseBounds: () => ({ termSinceMs, othersRenewUntilMs }),
  };
}
