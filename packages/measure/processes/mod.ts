/**
 * Starts a fleet of separate processes on loopback.
 *
 * @module
 */

export * from "./daemon_files.ts";
export * from "./fleet_processes.ts";
export * from "./process_group.ts";
export * from "./wait_for.ts";
