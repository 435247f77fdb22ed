/**
 * Decider of a data centre: observations, waves and moves.
 *
 * @module
 */

export * from "./create_capacity.ts";
export * from "./decider_loop.ts";
export * from "./host_probes.ts";
export * from "./log_clock.ts";
export * from "./observe_work.ts";
export * from "./pool_demand.ts";
