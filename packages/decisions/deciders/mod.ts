/**
 * Leases of deciders, the processes that plan for a data centre.
 *
 * @module
 */

export * from "./get_active_term.ts";
export * from "./plan_decider_claim.ts";
export * from "./planned_record.ts";
