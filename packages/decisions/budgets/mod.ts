/**
 * Disruption budgets: which hosts may be out of service, and why others may
 * not.
 *
 * @module
 */

export * from "./choose_hosts_to_take_out.ts";
export * from "./find_join_blocker.ts";
export * from "./find_outage_blocker.ts";
export * from "./pool_capacity.ts";
export * from "./pool_limits.ts";
