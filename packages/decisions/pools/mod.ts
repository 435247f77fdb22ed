/**
 * Sizes of pools: demand, moves of hosts between pools, and spare hosts.
 *
 * @module
 */

export * from "./demand_estimate.ts";
export * from "./move_plan.ts";
export * from "./needed_hosts.ts";
export * from "./plan_moves.ts";
export * from "./pool_balance.ts";
export * from "./required_buffer.ts";
export * from "./shortage.ts";
