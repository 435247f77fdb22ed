/**
 * Retry decisions and the budget that limits them.
 *
 * @module
 */

export * from "./decide_retry.ts";
export * from "./retry_budget.ts";
