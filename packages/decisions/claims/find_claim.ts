/**
 * Looks up the claim of an idempotency key.
 *
 * @module
 */

import type { ClaimsState } from "./claims_state.ts";

/** State of the claim of a key as one entry host knows it. */
export type FoundClaim =
  /** The key was not claimed. */
  | { type: "none" }
  /** This process appends a claim that is not folded yet. */
  | { type: "deciding" }
  /** This process runs or ran the order. */
  | { type: "local"; primary: string }
  /** The order provably did not run. */
  | { type: "released" }
  /** The order ran; `offset` is that of its answer if that is stored. */
  | { type: "completed"; offset: number | undefined }
  /** The key is claimed, has no known end, and does not run here. */
  | { type: "open" };

/**
 * Returns the state of the claim of a key as this entry host knows it.
 *
 * @example
 * ```ts
 * const state = createClaims({ member: "entry-1", incarnation: "1" });
 * findClaim(state, "AAAAAAAAAAAAAAAAAAAAAA"); // { type: "none" }
 * ```
 */
export function findClaim(state: ClaimsState, key: string): FoundClaim {
  const local = state.local.get(key);
  switch (local?.phase) {
    case "queued":
    case "appended":
      return { type: "deciding" };
    case "releasing":
      return { type: "released" };
    case "running":
    case "completing":
      return { type: "local", primary: local.primary! };
  }
  const position = state.table.find(key);
  if (position < 0) {
    return { type: state.fingerprints.has(key) ? "open" : "none" };
  }
  const claim = state.table.view(position);
  return claim.state === "completed"
    ? { type: "completed", offset: claim.answerOffset }
    : { type: "open" };
}
