import type { ClaimsState } from "./claims_state.ts";

/** What an entry host knows of a key. */
export type FoundClaim =
  | { type: "none" }
  /** The claim is being decided here. */
  | { type: "deciding" }
  /** The order runs or ran here. */
  | { type: "local"; primary: string }
  /** The order provably did not run. */
  | { type: "released" }
  | { type: "completed"; offset: number | undefined }
  /** Claimed, without an end and not running here. */
  | { type: "open" };

/**
 * Returns what this entry host knows of a key.
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
