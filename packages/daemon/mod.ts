/**
 * The daemon of an entry host.
 *
 * @module
 */

export * from "./create_daemon.ts";
export * from "./settings.ts";
export * from "./start_daemon.ts";
