/**
 * Admission control, request queues and slot scheduling of one entry host.
 *
 * @module
 */

export * from "./advance_scheduler.ts";
export * from "./queued_request.ts";
export * from "./report_slots.ts";
export * from "./scheduler_action.ts";
export * from "./scheduler_event.ts";
export { createScheduler } from "./scheduler_state.ts";
export type { SchedulerOptions, SchedulerState } from "./scheduler_state.ts";
export * from "./topology.ts";
export * from "./urgency.ts";
