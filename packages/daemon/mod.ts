/**
 * Daemon of an entry host: connects listeners, the log, peers and decisions.
 *
 * @module
 */

export * from "./create_daemon.ts";
export * from "./daemon_dependencies.ts";
export * from "./settings.ts";
export * from "./start_daemon.ts";
