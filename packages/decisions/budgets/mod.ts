/**
 * Availability budgets: which hosts may be out, and why others may not.
 *
 * @module
 */

export * from "./hosts_that_may_be_out.ts";
export * from "./pool_capacity.ts";
export * from "./pool_limits.ts";
export * from "./why_not_join.ts";
export * from "./why_not_out.ts";
