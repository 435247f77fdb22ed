/**
 * Schemas of the records that the daemons append to the platform's log.
 *
 * @module
 */

export * from "./answer_record.ts";
export * from "./claim_record.ts";
export * from "./control_record.ts";
export * from "./log_record.ts";
