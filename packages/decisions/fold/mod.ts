/**
 * State of the fleet and its jobs, and the deterministic function that applies
 * the records of the stream `control` to it.
 *
 * @module
 */

export * from "./apply_record.ts";
export * from "./encode_checkpoint.ts";
export * from "./fleet_state.ts";
export * from "./job_state.ts";
export * from "./recent_outcome.ts";
export * from "./record_outcome.ts";
