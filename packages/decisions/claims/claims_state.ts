import type { ClaimEntry, ClaimRecord } from "@lagoonloom/records";
import { ClaimTable } from "./_claim_table.ts";

/** Claims are remembered this long unless the settings say otherwise. */
export const DEFAULT_CLAIM_WINDOW_MS = 24 * 3_600_000;

/** Claims in memory unless the settings say otherwise: 48 MB. */
export const DEFAULT_MAX_CLAIMS = 1_000_000;

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
  parked: (WaitingOrder & { request: string })[];
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
  holders: Map<number, ClaimHolder>;
  holderIds: Map<string, number>;
  nextHolderId: number;
  local: Map<string, LocalClaim>;
  /** Claims to append. */
  queue: LocalClaim[];
  /** Ends of claims to append. */
  ends: ClaimEntry[];
  batch: ClaimBatch | undefined;
  lastSequence: number;
  liveMembers: number;
  nextAppendAtMs: number;
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
    holders: new Map(),
    holderIds: new Map(),
    nextHolderId: 1,
    local: new Map(),
    queue: [],
    ends: [],
    batch: undefined,
    lastSequence: 0,
    liveMembers: 1,
    nextAppendAtMs: -Infinity,
    evictAtMs: 0,
  };
}
