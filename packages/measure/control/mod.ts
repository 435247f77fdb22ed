/**
 * Measures of running daemons without requests, in real processes.
 *
 * @module
 */

export * from "./control_fleet.ts";
export * from "./in_force_delays.ts";
export * from "./measure_control.ts";
export * from "./process_usage.ts";
export * from "./publish_changes.ts";
