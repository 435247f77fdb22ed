/**
 * Cost of running daemons without requests, in real processes.
 *
 * @module
 */

export * from "./control_fleet.ts";
export * from "./measure_control.ts";
export * from "./process_usage.ts";
export * from "./publish_changes.ts";
export * from "./watch_versions.ts";
