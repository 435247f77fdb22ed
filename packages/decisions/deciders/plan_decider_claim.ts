/**
 * Plans claims and renewals of the lease of a decider.
 *
 * @module
 */

import type { FleetState } from "../fold/fleet_state.ts";
import type { DeciderIdentity } from "./get_active_term.ts";
import { type PlannedRecord, planRecord } from "./planned_record.ts";

/** Duration of a decider's lease in milliseconds. */
export const DECIDER_LEASE_MS = 15_000;

/** Remaining lease in milliseconds at which the holder renews it. */
export const RENEWAL_THRESHOLD_MS = 10_000;

/**
 * Delay in milliseconds between the claims of two candidates. They claim one
 * after the other, so that a free scope usually costs a single append rather
 * than one per daemon.
 */
export const CLAIM_STAGGER_MS = 1_000;

/** Options of {@linkcode planDeciderClaim}. */
export type PlanDeciderClaimOptions = DeciderIdentity & {
  /** Data centre for which the decider plans. */
  scope: string;
  /** Log time now, estimated from the last folded record, in milliseconds. */
  nowMs: number;
};

/**
 * Returns the claim or renewal that a process has to append now, or undefined.
 * When a scope is free, the members of its data centre claim first, in the
 * order of their names, and then the members of other data centres.
 *
 * @example
 * ```ts
 * const claim = planDeciderClaim(state, { scope, holder, incarnation, nowMs });
 * ```
 */
export function planDeciderClaim(
  state: FleetState,
  options: PlanDeciderClaimOptions,
): PlannedRecord | undefined {
  const { scope, holder, incarnation, nowMs } = options;
  if (state.members.get(holder)?.incarnation !== incarnation) return undefined;
  const current = state.deciders.get(scope);
  const isHeld = current !== undefined && nowMs < current.leaseEndMs;
  const isOwn = current?.holder === holder &&
    current.incarnation === incarnation;
  if (isHeld) {
    const isDue = current.leaseEndMs - nowMs <= RENEWAL_THRESHOLD_MS;
    return isOwn && isDue
      ? createClaim(state, options, current.epoch)
      : undefined;
  }
  const freeSinceMs = current?.leaseEndMs ?? findFirstJoinMs(state);
  const rank = orderCandidates(state, scope).indexOf(holder);
  if (nowMs < freeSinceMs + rank * CLAIM_STAGGER_MS) return undefined;
  return createClaim(state, options, (current?.epoch ?? 0) + 1);
}

function createClaim(
  state: FleetState,
  { scope, holder, incarnation }: PlanDeciderClaimOptions,
  epoch: number,
): PlannedRecord {
  return planRecord(state, {
    type: "decider.claimed",
    scope,
    holder,
    incarnation,
    epoch,
    leaseMs: DECIDER_LEASE_MS,
  });
}

function findFirstJoinMs(state: FleetState): number {
  let first = Infinity;
  for (const { joinedAtMs } of state.members.values()) {
    first = Math.min(first, joinedAtMs);
  }
  return first;
}

function orderCandidates(state: FleetState, scope: string): string[] {
  const order = (name: string) =>
    `${state.members.get(name)?.dataCentre === scope ? 0 : 1}${name}`;
  return [...state.members.keys()]
    .sort((left, right) => order(left) < order(right) ? -1 : 1);
}
