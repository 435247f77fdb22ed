/**
 * Who decides for a data centre, and until when.
 *
 * @module
 */

export * from "./get_active_term.ts";
export * from "./plan_decider_claim.ts";
export * from "./planned_record.ts";
