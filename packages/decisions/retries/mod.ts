/**
 * Retry decision and budget.
 *
 * @module
 */

export * from "./decide_retry.ts";
export * from "./retry_budget.ts";
