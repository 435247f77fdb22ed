import type { Decider, FleetState } from "../../fold/fleet_state.ts";
import type { AdvanceJobsOptions, JobControlOptions } from "../job_control.ts";
import { OFFLINE_RENEWAL_MS } from "../task_lease.ts";

/** Time in milliseconds in which a member that is gone stops to act. */
const FENCE_MS = 2_000;

/** Watches who decided before, since they may have renewed leases. */
export type TermWatch = {
  watch(state: FleetState, options: AdvanceJobsOptions): void;
  bounds(): { termSinceMs: number; othersUntilMs: number };
};

/**
 * Creates a watch of the deciders of a scope. An earlier decider may renew
 * leases without the log for a long time, unless it left, was declared lost or
 * has folded the newer term.
 */
export function createTermWatch(options: JobControlOptions): TermWatch {
  const { scope, holder } = options;
  let current: Decider | undefined;
  let earlier: Decider | undefined;
  let claimOffset = 0;
  let termSinceMs = 0;
  let othersUntilMs = 0;
  return {
    watch(state, { nowMs, hasFolded }) {
      const decider = state.deciders.get(scope);
      if (decider === undefined) return;
      if (decider.epoch !== current?.epoch) {
        const isFirst = current === undefined && decider.epoch === 1;
        const isOwn = current?.holder === holder;
        earlier = isOwn ? undefined : current;
        othersUntilMs = isFirst || isOwn
          ? othersUntilMs
          : (current?.leaseEndMs ?? nowMs) + OFFLINE_RENEWAL_MS;
        claimOffset = state.nextOffset;
        termSinceMs = nowMs;
      }
      current = { ...decider };
      if (earlier === undefined || othersUntilMs <= nowMs + FENCE_MS) return;
      const isGone = state.members.get(earlier.holder)?.incarnation !==
        earlier.incarnation;
      if (!isGone && hasFolded?.(earlier.holder, claimOffset) !== true) return;
      othersUntilMs = nowMs + FENCE_MS;
      earlier = undefined;
    },
    bounds: () => ({ termSinceMs, othersUntilMs }),
  };
}
