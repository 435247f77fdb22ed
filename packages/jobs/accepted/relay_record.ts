import { RelayResponse_Outcome } from "@lagoonloom/peers";
import type { OwnerAccess } from "../queries/query_owner.ts";
import type { JobRecord, RecordOutcome } from "./accept_job.ts";

/** Most members that one record is sent to. */
const MAX_RELAYS = 3;

/**
 * Longest wait for one member's answer. It doesn't grow, as the next member
 * would have less time.
 */
const RELAY_TIMEOUT_MS = 600;

/** Retry delay after a refusal through another member. */
const RETRY_AFTER_MS = 500;

/**
 * Sends a record to other members, one after the other in random order, until
 * one has stored it. Those that did not answer their last call come last. The
 * outcome is `unknown` if a member did not answer, since
 * it may have stored the record.
 *
 * @returns undefined if no member was called
 */
export async function relayRecord(
  access: OwnerAccess,
  record: JobRecord & { partition: number },
  { addresses, deadlineMs }: {
    /** Addresses of members that reach the store. */
    addresses: readonly string[];
    /** Monotonic time after which no further member is called. */
    deadlineMs: number;
  },
): Promise<RecordOutcome | undefined> {
  const candidates = [...addresses];
  let outcome: RecordOutcome | undefined;
  for (let calls = 0; calls < MAX_RELAYS && candidates.length > 0; calls++) {
    const leftMs = Math.floor(deadlineMs - performance.now());
    if (leftMs <= 0) break;
    const address = chooseCandidate(access, candidates);
    candidates.splice(candidates.indexOf(address), 1);
    const answer = await access.client(address).relay(
      record,
      Math.min(RELAY_TIMEOUT_MS, leftMs),
    );
    if (answer?.outcome === RelayResponse_Outcome.STORED) {
      return { type: "stored" };
    }
    if (answer?.outcome !== RelayResponse_Outcome.REFUSED) {
      outcome = { type: "unknown", reason: "a relaying member did not answer" };
    }
    outcome ??= {
      type: "refused",
      retryAfterMs: RETRY_AFTER_MS,
      reason: "the store also refused the record from another member",
    };
  }
  return outcome;
}

/** Returns a random member, if possible one that answered its last call. */
function chooseCandidate(
  access: OwnerAccess,
  candidates: readonly string[],
): string {
  const answering = candidates.filter((address) =>
    access.client(address).isAnswering()
  );
  const eligible = answering.length > 0 ? answering : candidates;
  return eligible[Math.floor(Math.random() * eligible.length)]!;
}
