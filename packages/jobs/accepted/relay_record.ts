import { RelayResponse_Outcome } from "@lagoonloom/peers";
import type { OwnerAccess } from "../shown/ask_owner.ts";
import type { KeyedValue, RecordOutcome } from "./accept_job.ts";

/** Members that are asked at most. */
const MAX_ASKED = 3;

/** Longest wait for one member. */
const RELAY_TIMEOUT_MS = 600;

/** Time to come back after a refusal by another member's store. */
const RETRY_MS = 500;

/**
 * Stores a record through other members, one after the other. A member that
 * does not answer may have stored it.
 *
 * @returns undefined if no member was asked
 */
export async function relayRecord(
  access: OwnerAccess,
  record: KeyedValue & { partition: number },
  { addresses, endMs }: {
    /** Members that reach the store. */
    addresses: readonly string[];
    endMs: number;
  },
): Promise<RecordOutcome | undefined> {
  const others = [...addresses];
  let found: RecordOutcome | undefined;
  for (let asked = 0; asked < MAX_ASKED && others.length > 0; asked++) {
    const leftMs = Math.floor(endMs - performance.now());
    if (leftMs <= 0) break;
    const at = Math.floor(Math.random() * others.length);
    const [address] = others.splice(at, 1);
    const answer = await access.client(address!).relay(
      record,
      Math.min(RELAY_TIMEOUT_MS, leftMs),
    );
    if (answer?.outcome === RelayResponse_Outcome.STORED) {
      return { type: "stored" };
    }
    if (answer?.outcome !== RelayResponse_Outcome.REFUSED) {
      found = { type: "unknown", reason: "no answer of another member" };
    }
    found ??= {
      type: "refused",
      retryAfterMs: RETRY_MS,
      reason: "refused to another member too",
    };
  }
  return found;
}
