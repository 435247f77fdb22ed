/**
 * At-most-once execution of requests with an idempotency key, called orders. An
 * entry host runs an order only after its claim of the key is the first on the
 * log.
 *
 * @module
 */

export * from "./advance_claims.ts";
export * from "./claim_action.ts";
export * from "./claim_event.ts";
export * from "./claims_state.ts";
export * from "./find_claim.ts";
