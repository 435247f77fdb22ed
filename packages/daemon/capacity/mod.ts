/**
 * Decider of a data centre: observations, waves and moves.
 *
 * @module
 */

export * from "./create_capacity_controller.ts";
export * from "./decider_loop.ts";
export * from "./host_probes.ts";
export * from "./log_clock.ts";
export * from "./work_observer.ts";
export * from "./pool_demand.ts";
