import type { FleetState } from "../fold/fleet_state.ts";
import type { DeciderIdentity } from "./get_active_term.ts";
import { type PlannedRecord, planRecord } from "./planned_record.ts";

/** Duration of a decider's lease in milliseconds. */
export const DECIDER_LEASE_MS = 15_000;

/** Remaining lease in milliseconds at which the holder renews. */
export const RENEWAL_THRESHOLD_MS = 10_000;

/**
 * Delay in milliseconds between the claims of two candidates. The candidates
 * take turns, so that a free scope costs one append and not one per daemon.
 */
export const CLAIM_STAGGER_MS = 1_000;

/** Options of {@linkcode planDeciderClaim}. */
export type PlanDeciderClaimOptions = DeciderIdentity & {
  scope: string;
  /** Log time now, estimated from the last folded record, in milliseconds. */
  nowMs: number;
};

/**
 * Returns the claim or renewal that a process should append now, or undefined.
 * Members of the scope's data centre come first, in the order of their names;
 * members of other data centres take over if none of them does.
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
