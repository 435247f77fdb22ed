/**
 * Capacity controller of a data centre: observes its hosts and demand, and
 * plans maintenance waves and moves of hosts between pools.
 *
 * @module
 */

export * from "./create_capacity_controller.ts";
export * from "./decider_loop.ts";
export * from "./host_probes.ts";
export * from "./log_clock.ts";
export * from "./work_observer.ts";
export * from "./pool_demand.ts";
