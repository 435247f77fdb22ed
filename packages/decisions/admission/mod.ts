/**
 * Admission, queues and slot scheduling of one entry host.
 *
 * @module
 */

export * from "./queued_request.ts";
export * from "./scheduler_action.ts";
export * from "./scheduler_event.ts";
export * from "./topology.ts";
export * from "./urgency.ts";
