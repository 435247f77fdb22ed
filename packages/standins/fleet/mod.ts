/**
 * Simulated fleet in memory: the log, hosts and daemons, and faults of each.
 *
 * @module
 */

export * from "./create_fleet_set.ts";
export * from "./fleet_model.ts";
export * from "./invariant_checker.ts";
export * from "./model_daemon.ts";
export * from "./model_hosts.ts";
export * from "./model_log.ts";
