/**
 * Who decides for a data centre, and until when.
 *
 * @module
 */

export * from "./may_decide.ts";
export * from "./plan_claim.ts";
export * from "./planned_record.ts";
