/**
 * Messages of the broker of the caps to the owners of partitions.
 *
 * @module
 */

import type { CallTimeout } from "@lagoonloom/peers";
import type { OwnerAccess } from "../../queries/query_owner.ts";
import type { LimitAnswer } from "./cap_broker.ts";
import { decodeAnswer, encodeLimits } from "./limit_records.ts";
import type { LimitMessage } from "./organisation_limits.ts";

/**
 * Longest wait for another member's answer. Messages may be repeated, as they
 * are numbered, and only the partition that was called waits for its answer.
 */
const ANSWER_TIMEOUT: CallTimeout = { leastMs: 400, mostMs: 2_000 };

/**
 * Sends a message to the owner of a partition, in this process or in another
 * member.
 *
 * @returns its answer; undefined if there was none
 */
export async function sendLimits(
  access: OwnerAccess,
  { partition, message, maySend }: {
    partition: number;
    message: LimitMessage;
    /** Whether this member is still the broker. */
    maySend(): boolean;
  },
): Promise<LimitAnswer | undefined> {
  const owner = access.localOwner(partition);
  if (owner !== undefined) return owner.applyLimits(message);
  const { directory, ownAddress } = access;
  const address = await directory.find(partition);
  if (!maySend()) return undefined;
  if (address === undefined || address === ownAddress) {
    directory.invalidate();
    return undefined;
  }
  const answer = decodeAnswer(
    await access.client(address).limit(
      encodeLimits(partition, message),
      ANSWER_TIMEOUT,
    ),
  );
  if (answer === undefined) directory.invalidate();
  return answer;
}
