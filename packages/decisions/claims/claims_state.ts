/**
 * State of the claims of one entry host.
 *
 * @module
 */

import type { ClaimEntry, ClaimRecord } from "@lagoonloom/records";
import { ClaimFingerprints } from "./_claim_fingerprints.ts";
import { ClaimTable } from "./_claim_table.ts";

/** Default time in milliseconds for which a claim is remembered. */
export const DEFAULT_CLAIM_WINDOW_MS = 24 * 3_600_000;

/**
 * Default limit on remembered claims. It holds a day of 128 orders/s, the mean
 * of the largest desk, in 56 MB.
 */
export const DEFAULT_MAX_CLAIMS = 11_000_000;

/** Claims in the table; older ones are reduced to fingerprints. */
export const MAX_TABLE_CLAIMS = 200_000;

/** Options of {@linkcode createClaims}. */
export type ClaimsOptions = {
  member: string;
  incarnation: string;
  /** Log time in milliseconds for which a claim is remembered. */
  windowMs?: number;
  /** Limit on remembered claims, beyond which new orders are refused. */
  maxClaims?: number;
};

/** Process that appends claims. */
export type ClaimHolder = {
  member: string;
  incarnation: string;
  /** Sequence number of its last folded batch. */
  lastSequence: number;
  /** Log time of its last folded batch. */
  lastTimeMs: number;
};

/** Order that waits for a claim or its release. */
export type WaitingOrder = { id: string; deadlineAtMs: number };

/** Claim that this process appends, holds or is ending. */
export type LocalClaim = {
  key: string;
  /** Digest of the request for which the key is claimed. */
  request: string;
  /**
   * Queued for a batch; part of a batch whose fold is awaited; running its
   * order; awaiting the fold of its release; or that of its completion.
   */
  phase: "queued" | "appended" | "running" | "releasing" | "completing";
  /** Orders that wait for the claim; empty if all were refused or cancelled. */
  orders: WaitingOrder[];
  /** Id of the order that was sent, if any. */
  primary: string | undefined;
  /** Orders that wait until the release is folded. */
  waitingForRelease: (WaitingOrder & { request: string })[];
};

/** Batch that is not known to be on the log yet. */
export type ClaimBatch = {
  recordId: string;
  record: ClaimRecord;
  claims: LocalClaim[];
  /** Whether an append of it is outstanding. */
  isAppending: boolean;
};

/** State of the claims of one entry host. */
export type ClaimsState = {
  options: Required<ClaimsOptions>;
  /** Newest claims of all entry hosts. */
  table: ClaimTable;
  /** Claims that are too old for the table. */
  fingerprints: ClaimFingerprints;
  /** Processes that appended claims, by the id that the table uses. */
  holders: Map<number, ClaimHolder>;
  /** Ids of processes by member name and incarnation. */
  holderIds: Map<string, number>;
  nextHolderId: number;
  /** Claims of this process by key. */
  local: Map<string, LocalClaim>;
  /** Claims to append. */
  pendingClaims: LocalClaim[];
  /** Completions and releases to append. */
  pendingEnds: ClaimEntry[];
  batch: ClaimBatch | undefined;
  /** Sequence number of the last batch of this process. */
  lastSequence: number;
  /** Number of live entry hosts. */
  liveMembers: number;
  /** Monotonic time in milliseconds before which no batch is appended. */
  nextAppendAtMs: number;
  /**
   * Monotonic time in milliseconds at which completions and releases are
   * appended if no claim causes an append before.
   */
  endsDueAtMs: number;
  /** Log time in milliseconds of the next eviction of old claims. */
  evictAtMs: number;
};

/**
 * Creates the state of the claims of one entry host.
 *
 * @example
 * ```ts
 * const state = createClaims({ member: "entry-1", incarnation: "1" });
 * ```
 */
export function createClaims(options: ClaimsOptions): ClaimsState {
  return {
    options: {
      windowMs: DEFAULT_CLAIM_WINDOW_MS,
      maxClaims: DEFAULT_MAX_CLAIMS,
      ...options,
    },
    table: new ClaimTable(),
    fingerprints: new ClaimFingerprints(),
    holders: new Map(),
    holderIds: new Map(),
    nextHolderId: 1,
    local: new Map(),
    pendingClaims: [],
    pendingEnds: [],
    batch: undefined,
    lastSequence: 0,
    liveMembers: 1,
    nextAppendAtMs: -Infinity,
    endsDueAtMs: Infinity,
    evictAtMs: 0,
  };
}
