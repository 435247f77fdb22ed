/**
 * What a round of placement may start of each organisation within its limit.
 *
 * @module
 */

import type { Job } from "../../job.ts";
import type { OwnerState } from "../../owned/owner_state.ts";
import type { Size } from "../../submission.ts";
import { countFitting, NOTHING, plus, sizeOf } from "./_amounts.ts";
import { countMayRun, type RunningUse } from "./organisation_use.ts";

/** What a round of placement may start. */
export type PlacementBudget = {
  /** Returns how many tasks of a size a job may start now. */
  count(job: Job, size: Size): number;
  /** Notes that a task of a job is started. */
  take(job: Job, size: Size): void;
};

/** Budget that also tells which organisations it has stopped. */
export type OwnerBudget = PlacementBudget & {
  /** What may be running by organisation, of those with tasks that wait. */
  atLimit: ReadonlyMap<string, { mayRun: Size; limit: Size }>;
};

/**
 * Creates the budget of a round of placement; undefined if no organisation has
 * a cap. What may be running is counted once in a round. The limits are by
 * default those that the broker of the caps has set.
 *
 * @example
 * ```ts
 * const budget = createPlacementBudget(owner);
 * if (budget !== undefined && budget.count(job, size) === 0) return;
 * ```
 */
export function createPlacementBudget(
  owner: OwnerState,
  limitOf: (organisation: string, cap: Size) => Size = owner.limits.limitOf,
): OwnerBudget | undefined {
  if (!owner.caps.hasCaps()) return undefined;
  let running: RunningUse | undefined;
  const free = new Map<string, Size>();
  const atLimit = new Map<string, { mayRun: Size; limit: Size }>();

  const limitAndUse = (organisation: string, cap: Size) => {
    running ??= countMayRun(owner);
    const mayRun = plus(
      running.known.get(organisation) ?? NOTHING,
      running.unknown,
    );
    return { mayRun, limit: limitOf(organisation, cap) };
  };

  const freeOf = (organisation: string, cap: Size): Size => {
    let amount = free.get(organisation);
    if (amount === undefined) {
      const { mayRun, limit } = limitAndUse(organisation, cap);
      amount = sizeOf((resource) => limit[resource] - mayRun[resource]);
      free.set(organisation, amount);
    }
    return amount;
  };

  return {
    atLimit,
    count({ accepted: { organisation } }, size) {
      const cap = organisation && owner.caps.capOf(organisation);
      if (organisation === undefined || !cap) return Infinity;
      const count = countFitting(size, freeOf(organisation, cap));
      if (count === 0 && !atLimit.has(organisation)) {
        atLimit.set(organisation, limitAndUse(organisation, cap));
      }
      return count;
    },
    take({ accepted: { organisation } }, size) {
      const amount = organisation && free.get(organisation);
      if (organisation === undefined || !amount) return;
      free.set(organisation, plus(amount, size, -1));
    },
  };
}
