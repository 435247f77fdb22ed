import type { Decider, FleetState } from "../../fold/fleet_state.ts";
import type { AdvanceJobsOptions, JobControlOptions } from "../job_control.ts";
import { OFFLINE_RENEWAL_MS } from "../task_lease.ts";

/** Time in milliseconds in which a member that is gone stops to act. */
const FENCING_MS = 2_000;

/** Watches who decided before, since they may have renewed leases. */
export type TermTracker = {
  update(state: FleetState, options: AdvanceJobsOptions): void;
  leaseBounds(): { termSinceMs: number; othersRenewUntilMs: number };
};

/**
 * Creates a watch of the deciders of a scope. An earlier decider may renew
 * leases without the log for a long time, unless it left, was declared lost or
 * has folded the newer term.
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
