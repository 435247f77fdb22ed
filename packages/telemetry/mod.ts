/**
 * Numbered log events and metrics.
 *
 * @module
 */

export * from "./client_metrics.ts";
export * from "./event_log.ts";
export * from "./executor_log_events.ts";
export * from "./job_log_events.ts";
export * from "./job_metrics.ts";
export * from "./label_allowlist.ts";
export * from "./organisation_metrics.ts";
export * from "./log_event.ts";
export * from "./log_events.ts";
export * from "./member_log_events.ts";
export * from "./metrics.ts";
export * from "./watch_held_up.ts";
