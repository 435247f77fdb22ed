import type { ClaimEntry, ClaimRecord } from "@lagoonloom/records";
import { ClaimTable } from "./_claim_table.ts";
import { ClaimFingerprints } from "./_claim_fingerprints.ts";

/** Claims are remembered this long unless the settings say otherwise. */
export const DEFAULT_CLAIM_WINDOW_MS = 24 * 3_600_000;

/**
 * Claims in memory unless the settings say otherwise: a day of 128 orders/s,
 * the mean of today's largest desk, in 56 MB.
 */
export const DEFAULT_MAX_CLAIMS = 11_000_000;

/** Claims that are kept with their answers; older ones are fingerprints. */
export const MAX_TABLE_CLAIMS = 200_000;

/** Options of {@linkcode createClaims}. */
export type ClaimsOptions = {
  member: string;
  incarnation: string;
  /** Log time for which a claim is remembered. */
  windowMs?: number;
  /** New orders are refused beyond this number of remembered claims. */
  maxClaims?: number;
};

/** Process that appends claims. */
export type ClaimHolder = {
  member: string;
  incarnation: string;
  /** Sequence number of its last folded batch. */
  lastSequence: number;
  lastTimeMs: number;
};

/** Order that waits for its claim. */
export type WaitingOrder = { id: string; deadlineAtMs: number };

/** Key for which this entry host has a claim or appends one. */
export type LocalClaim = {
  key: string;
  request: string;
  phase: "queued" | "appended" | "running" | "releasing" | "completing";
  /** Orders that wait for the claim; none if their callers were answered. */
  orders: WaitingOrder[];
  /** Order that was sent. */
  primary: string | undefined;
  /** Orders that wait until the release was folded. */
  waitingForRelease: (WaitingOrder & { request: string })[];
};

/** Batch whose place in the log is not known yet. */
export type ClaimBatch = {
  recordId: string;
  record: ClaimRecord;
  claims: LocalClaim[];
  isAppending: boolean;
};

/** State of the claims of one entry host. */
export type ClaimsState = {
  options: Required<ClaimsOptions>;
  table: ClaimTable;
  /** Claims that the table has no room for. */
  fingerprints: ClaimFingerprints;
  holders: Map<number, ClaimHolder>;
  holderIds: Map<string, number>;
  nextHolderId: number;
  local: Map<string, LocalClaim>;
  /** Claims to append. */
  pendingClaims: LocalClaim[];
  /** Ends of claims to append. */
  pendingEnds: ClaimEntry[];
  batch: ClaimBatch | undefined;
  lastSequence: number;
  liveMembers: number;
  nextAppendAtMs: number;
  /** Time at which the ends are appended if no claim goes before. */
  endsDueAtMs: number;
  /** Log time of the next removal of old claims. */
  evictAtMs: number;
};

/**
 * Creates the state of the claims.
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
