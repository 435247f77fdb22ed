/**
 * At-most-once execution by claims on the log.
 *
 * @module
 */

export * from "./advance_claims.ts";
export * from "./claim_action.ts";
export * from "./claim_event.ts";
export * from "./claims_state.ts";
export * from "./find_claim.ts";
