/**
 * Answers of a partition's owner to the broker of the caps.
 *
 * @module
 */

import {
  ADMISSION_GRACE_MS,
  isOwnershipConfirmed,
  type OwnerState,
} from "../../owned/owner_state.ts";
import { isNothing, NOTHING, plus, roundUp } from "./_amounts.ts";
import type { LimitAnswer } from "./cap_broker.ts";
import type { CapUse } from "./cap_ledger.ts";
import type { LimitMessage } from "./organisation_limits.ts";
import { countMayRun, countWaiting } from "./organisation_use.ts";

/**
 * Applies a broker's message and tells what each organisation uses. An owner
 * that may have been replaced does not answer, as the broker would take its
 * limits for those of the partition: the store assigns a partition to another
 * member later than that after it has last confirmed the ownership.
 *
 * @returns undefined if the owner must not answer
 */
export function answerLimits(
  owner: OwnerState,
  message: LimitMessage,
): LimitAnswer | undefined {
  const mayAnswer = owner.isLoaded && !owner.isClosed && !owner.isReleasing &&
    isOwnershipConfirmed(owner, ADMISSION_GRACE_MS);
  if (!mayAnswer) return undefined;
  const { epoch } = owner.options;
  const isCurrent = owner.limits.apply(message);
  if (message.limits.size > 0) owner.schedulePlacement();
  return {
    ownerEpoch: epoch,
    isOutdated: !isCurrent,
    uses: collectUses(owner, { isFull: message.ownerEpoch !== epoch }),
  };
}

function collectUses(
  owner: OwnerState,
  { isFull }: { isFull: boolean },
): Map<string, CapUse> {
  const { known, unknown } = countMayRun(owner);
  const waiting = countWaiting(owner);
  const uses = new Map<string, CapUse>();
  const names = new Set([
    ...owner.caps.all().keys(),
    ...owner.limits.granted().keys(),
  ]);
  for (const name of names) {
    const mayRun = roundUp(plus(known.get(name) ?? NOTHING, unknown));
    const limit = owner.limits.granted().get(name) ?? NOTHING;
    const waits = waiting.get(name);
    const isIdle = isNothing(mayRun) && waits === undefined;
    if (isIdle && (!isFull || isNothing(limit))) continue;
    uses.set(name, { ...(waits ?? NO_WAIT), mayRun, limit });
  }
  return uses;
}

const NO_WAIT = { waiting: NOTHING, unit: NOTHING, waitedMs: 0 };
